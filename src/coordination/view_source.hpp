#pragma once

/// \file
/// Defines which host of a failure domain reads the platform's topics for the others, because every
/// call to the platform's store is priced and limited over the whole fleet.

#include <optional>
#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Whom `own` asks for what it has read: the first of the live hosts of the domain by rendezvous
/// weight. Nothing if that is `own` itself, or if `live_peers` are so few that each reads itself.
std::optional<host_id> view_source(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers);

} // namespace banyanshunt
