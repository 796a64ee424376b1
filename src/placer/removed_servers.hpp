#pragma once

/// \file
/// Defines how a placer learns that the platform has taken a backend server away: it was listed and
/// has not been for some time. A server that was never listed is not judged this way.

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
    /// Takes the newest list and returns the servers that are gone.
    std::set<server_id> update(const std::vector<listed_host>& list, instant now);

private:
    /// When each server was last listed.
    std::map<server_id, instant> listed_;
};

} // namespace banyanshunt
