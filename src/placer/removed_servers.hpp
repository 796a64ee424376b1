#pragma once

/// \file
/// Detects the backend servers that the platform has removed: those that were listed and have not
/// been for some time. A server that was never listed does not count as removed.

#include <map>
#include <set>
#include <vector>

#include "coordination/host_list.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// Used by one thread.
class removed_servers
{
public:
    /// Applies the newest list and returns the removed servers.
    std::set<server_id> update(const std::vector<listed_host>& list, instant now);

private:
    /// When each server was last listed.
    std::map<server_id, instant> listed_;
};

} // namespace banyanshunt
