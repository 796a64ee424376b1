#pragma once

/// \file
/// Defines which entry hosts own a part of a workspace's rate and burst, because every host has to
/// reach the same answer from the same list of hosts, with no talk.

#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

struct share_member
{
    host_id host;
    domain_id domain;
};

/// The first `chunks` hosts in the workspace's order. Failure domains take turns, so that each has
/// an owner of its own as far as there are parts; within a domain hosts rank by rendezvous weight.
std::vector<host_id> share_owners(const workspace_id& workspace, std::vector<share_member> members,
                                  std::size_t parts);

} // namespace banyanshunt
