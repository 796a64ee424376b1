#pragma once

/// \file
/// Defines what a placer knows of the needs of other hosts: each host's newest word replaces its
/// older one, and an old word counts no more.

#include <map>
#include <mutex>
#include <vector>

#include "transport/placement_rpc.hpp"

namespace banyanshunt
{

/// Safe from any thread.
class demand_table
{
public:
    /// Replaces what a host needs; returns whether it now needs something that it did not before.
    bool put(const demand& it, instant now);

    /// The needs that have come no further than `hop`, those for the same replica joined, the
    /// earliest deadline first.
    std::vector<replica_demand> merged(demand_hop reach, instant now) const;

private:
    struct told
    {
        std::vector<replica_demand> needs;
        instant at;
    };

    mutable std::mutex mutex_;
    /// By who said it and how far it has come.
    std::map<std::pair<host_id, demand_hop>, told> hosts_;
};

} // namespace banyanshunt
