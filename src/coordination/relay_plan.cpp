#include "coordination/relay_plan.hpp"

#include <algorithm>
#include <map>
#include <random>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::string_view relay_key = "relay";

using peer_names = std::map<std::string, std::string>;

std::vector<std::string> relays_of(const peer_names& members)
{
    std::vector<std::string> names;
    for (const auto& [name, address] : members)
    {
        names.push_back(name);
    }
    auto ranked = rendezvous_order(relay_key, std::move(names));
    ranked.resize(std::min(ranked.size(), relays_in_domain));
    return ranked;
}

// A domain's hosts that were heard lately; all of its hosts when none was.
peer_names candidates(const std::vector<peer_view>& peers, const domain_id& domain,
                      milliseconds patience, instant now)
{
    peer_names heard;
    peer_names all;
    for (const auto& peer : peers)
    {
        if (peer.domain != domain)
        {
            continue;
        }
        all[peer.host.str()] = peer.address;
        if (peer.heard_within(patience, now))
        {
            heard[peer.host.str()] = peer.address;
        }
    }
    return heard.empty() ? all : heard;
}

bool is_relay(const std::vector<peer_view>& peers, const relay_plan_options& options,
              milliseconds patience, instant now)
{
    peer_names members;
    for (const auto& peer : peers)
    {
        if (peer.domain == options.domain && peer.heard_within(patience, now))
        {
            members[peer.host.str()] = peer.address;
        }
    }
    members[options.self.str()] = "";
    auto relays = relays_of(members);
    return std::find(relays.begin(), relays.end(), options.self.str()) != relays.end();
}

} // namespace

relay_round plan_round(const liveness& peers, const relay_plan_options& options, instant now,
                       std::uint64_t seed)
{
    auto known = peers.reachable();
    milliseconds patience = peers.patience();
    relay_round round;
    std::map<domain_id, bool> others;
    for (const auto& peer : known)
    {
        if (peer.domain == options.domain)
        {
            round.near.push_back(peer.address);
        }
        else
        {
            others[peer.domain] = true;
        }
    }
    std::mt19937_64 random(seed);
    if (is_relay(known, options, patience, now))
    {
        for (const auto& [domain, present] : others)
        {
            auto members = candidates(known, domain, patience, now);
            auto relays = relays_of(members);
            // One that never answered may hide a domain whose relays are gone: try a chance host.
            auto chance =
                std::next(members.begin(), static_cast<std::ptrdiff_t>(random() % members.size()));
            for (const auto& name : relays)
            {
                round.far.push_back(members[name]);
            }
            round.far.push_back(chance->second);
        }
    }
    std::shuffle(round.near.begin(), round.near.end(), random);
    std::shuffle(round.far.begin(), round.far.end(), random);
    return round;
}

milliseconds relay_tick(const relay_plan_options& options, std::size_t n)
{
    auto share = options.wanted_round / static_cast<int>(std::max<std::size_t>(n, 1));
    return std::max(share, options.shortest_tick);
}

} // namespace banyanshunt
