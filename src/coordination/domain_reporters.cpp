#include "coordination/domain_reporters.hpp"

#include <algorithm>

#include "coordination/host_ranking.hpp"

namespace banyanshunt
{

namespace
{

/// With fewer peers in the domain, forwarding saves no datagrams.
constexpr std::size_t min_peers = 4;

} // namespace

reporter_role choose_reporter_role(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers)
{
    if (live_peers.size() < min_peers)
    {
        return reporter_role::self;
    }
    std::vector<ranked_host> hosts{{.host = own, .domain = domain}};
    for (const auto& host : live_peers)
    {
        hosts.push_back({.host = host, .domain = domain});
    }
    auto reporters = first_in_ranking("reports", std::move(hosts), reporters_per_domain);
    return std::find(reporters.begin(), reporters.end(), own) != reporters.end()
               ? reporter_role::domain
               : reporter_role::none;
}

} // namespace banyanshunt
