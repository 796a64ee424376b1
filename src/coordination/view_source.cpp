#include "coordination/view_source.hpp"

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

namespace
{

/// With fewer peers, the shorter calls of the host that reads cost as much as sharing saves.
constexpr std::size_t min_peers = 4;

} // namespace

std::optional<host_id> view_source(const domain_id& domain, const host_id& own,
                                   const std::vector<host_id>& live_peers)
{
    if (live_peers.size() < min_peers)
    {
        return std::nullopt;
    }
    const host_id* best = &own;
    auto weight = rendezvous_weight(domain.str(), own.str());
    for (const auto& it : live_peers)
    {
        auto its_weight = rendezvous_weight(domain.str(), it.str());
        if (its_weight > weight)
        {
            best = &it;
            weight = its_weight;
        }
    }
    return best == &own ? std::nullopt : std::optional(*best);
}

} // namespace banyanshunt
