#pragma once

/// \file
/// Selects the entry hosts that own a fraction of a workspace's rate and burst. Every host computes
/// the same owners from the same list of hosts, without communication.

#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

struct share_member
{
    host_id host;
    domain_id domain;
};

/// The first `count` hosts in the workspace's ranking. The ranking alternates between failure
/// domains, so that up to `count` domains have an owner each. Within a domain hosts rank by
/// rendezvous weight.
std::vector<host_id> share_owners(const workspace_id& workspace, std::vector<share_member> members,
                                  std::size_t count);

} // namespace banyanshunt
