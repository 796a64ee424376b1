#include "coordination/view_source.hpp"

#include <algorithm>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

namespace
{

/// With fewer peers, the shorter calls of the host that reads cost as much as sharing saves.
constexpr std::size_t min_peers = 4;

} // namespace

std::optional<host_id> view_source(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers, store_contact contact)
{
    bool reads = contact == store_contact::kept;
    if (live_peers.empty() || (reads && live_peers.size() < min_peers))
    {
        return std::nullopt;
    }
    auto weight = [&](const host_id& host) { return rendezvous_weight(domain.str(), host.str()); };
    std::vector<std::uint64_t> weights(live_peers.size());
    std::transform(live_peers.begin(), live_peers.end(), weights.begin(), weight);
    auto best = std::max_element(weights.begin(), weights.end());
    return reads && weight(own) >= *best ? std::nullopt
                                         : std::optional(live_peers[best - weights.begin()]);
}

} // namespace banyanshunt
