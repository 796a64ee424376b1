#pragma once

/// \file
/// Defines what a placer knows of the needs of all entry hosts: each host's newest word replaces
/// its older one, and an old word counts no more.

#include <map>
#include <mutex>
#include <vector>

#include "coordination/replica_need.hpp"

namespace banyanshunt
{

/// Safe from any thread.
class demand_board
{
public:
    /// Replaces what `host` needs.
    void put(const host_id& host, std::vector<replica_need> needs, instant now);

    /// All needs, those for the same replica joined, the earliest deadline first.
    std::vector<replica_need> joined(instant now) const;

private:
    struct told
    {
        std::vector<replica_need> needs;
        instant at;
    };

    mutable std::mutex mutex_;
    std::map<host_id, told> hosts_;
};

} // namespace banyanshunt
