#pragma once

/// \file
/// Decides which entry hosts are members of the group that assigns engines to hosts.
///
/// It is made for fleets with many more entry hosts than an engine needs: a member renews its
/// membership several times per lease, and one that owns few engines or none costs as many calls to
/// the log as any other. So the number of members follows from the number of engines, and every
/// host computes the same members from its list of hosts. A member that fails is not replaced while
/// the others can take over its engines, as each host that joins moves engines of the others, which
/// get no orders meanwhile. Pure: it uses neither time nor sockets.

#include <vector>

#include "coordination/host_ranking.hpp"

namespace banyanshunt
{

struct order_membership_options
{
    /// How many engines a member owns on average.
    std::size_t engines_per_member = 6;
    /// Members per failure domain at least, so that a domain that is cut off still has one.
    std::size_t members_per_domain = 2;
};

/// An entry host that is known to this one.
struct known_host
{
    ranked_host it;
    /// Data was received from it recently, or it has just been listed.
    bool live = false;
    /// It was asked to stop.
    bool stopping = false;
};

/// How many hosts should be members, for this many engines in `partitions` partitions and for
/// failure domains with entry hosts; 0 if there is no engine.
std::size_t order_member_count(std::size_t engines, std::size_t domains, std::size_t partitions,
                               const order_membership_options& options = {});

/// Whether `own` should be a member; `is_member` says whether it is one now. `hosts` includes it.
bool is_order_member(const host_id& own, const std::vector<known_host>& hosts, std::size_t count,
                     bool is_member);

/// The hosts that are members if all compute `count`, and those that may have stayed members.
std::vector<host_id> order_members(const std::vector<known_host>& hosts, std::size_t count);

} // namespace banyanshunt
