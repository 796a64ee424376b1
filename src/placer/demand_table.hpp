#pragma once

/// \file
/// The demands that a placer has received from other hosts. Each host's newest report replaces its
/// previous one, and a report expires after some seconds.

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
    /// Replaces a host's demands; returns whether one of them was not in its previous report.
    bool put(const demand& it, instant now);

    /// Returns the demands that have travelled no further than `hop`, with those for the same
    /// replica merged, earliest deadline first.
    std::vector<replica_demand> merged(demand_hop hop, instant now) const;

private:
    struct received_demand
    {
        std::vector<replica_demand> demands;
        instant received_at;
    };

    mutable std::mutex mutex_;
    /// By sender and by how far the report has travelled.
    std::map<std::pair<host_id, demand_hop>, received_demand> hosts_;
};

} // namespace banyanshunt
