#pragma once

/// \file
/// Ranks entry hosts for a duty that only a few of them have, as owning a fraction of a workspace's
/// rate. Every host computes the same ranking from the same list of hosts, without communication.

#include <string_view>
#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

struct ranked_host
{
    host_id host;
    domain_id domain;
};

/// The first `count` hosts in the ranking for the duty `key`. The ranking alternates between
/// failure domains, so that up to `count` domains have a host each. Within a domain hosts rank by
/// rendezvous weight.
std::vector<host_id> first_in_ranking(std::string_view key, std::vector<ranked_host> hosts,
                                      std::size_t count);

} // namespace banyanshunt
