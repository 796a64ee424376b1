#pragma once

/// \file
/// Chooses the host of a failure domain that reads the platform's topics for the others, because
/// every call to the platform's store is charged and rate-limited over the whole fleet.

#include <optional>
#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Whether the store answered a host's last call.
enum class store_contact
{
    kept,
    lost,
};

/// Returns the host that `own` queries for the topics' content: the first of the domain's live
/// hosts by rendezvous weight. Nothing if that is `own`, or if there are so few `live_peers` that
/// each host reads the topics itself. A host without contact to the store queries the first of its
/// peers, however few they are.
std::optional<host_id> view_source(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers,
                                   store_contact contact = store_contact::kept);

} // namespace banyanshunt
