#include "coordination/relay_plan.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>

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
    ranked.resize(std::min(ranked.size(), relays_per_domain));
    return ranked;
}

struct domain_members
{
    peer_names heard;
    peer_names all;
};

domain_members members_of(const std::vector<peer_info>& peers, const domain_id& domain,
                          milliseconds patience, instant now)
{
    domain_members it;
    for (const auto& peer : peers)
    {
        if (peer.domain != domain)
        {
            continue;
        }
        it.all[peer.host.str()] = peer.address;
        if (peer.heartbeat_within(patience, now))
        {
            it.heard[peer.host.str()] = peer.address;
        }
    }
    return it;
}

bool is_relay(const std::vector<peer_info>& peers, const relay_plan_options& options,
              milliseconds patience, instant now)
{
    peer_names members;
    for (const auto& peer : peers)
    {
        if (peer.domain == options.domain && peer.heartbeat_within(patience, now))
        {
            members[peer.host.str()] = peer.address;
        }
    }
    members[options.self.str()] = "";
    auto relays = relays_of(members);
    return std::find(relays.begin(), relays.end(), options.self.str()) != relays.end();
}

// The relays of each other domain, and one host of it by chance, heard or not: all its relays may
// be gone, and a host that has just started there may have no other way to be found.
void add_far_peers(relay_round& round, const std::vector<peer_info>& known,
                   const relay_plan_options& options, milliseconds patience, instant now,
                   std::mt19937_64& random)
{
    std::set<domain_id> others;
    for (const auto& peer : known)
    {
        others.insert(peer.domain);
    }
    others.erase(options.domain);
    for (const auto& domain : others)
    {
        auto members = members_of(known, domain, patience, now);
        for (const auto& name : relays_of(members.heard.empty() ? members.all : members.heard))
        {
            round.cross_domain.push_back(members.all[name]);
        }
        auto nth = static_cast<std::ptrdiff_t>(random() % members.all.size());
        round.cross_domain.push_back(std::next(members.all.begin(), nth)->second);
    }
}

} // namespace

relay_round plan_round(const peer_table& peers, const relay_plan_options& options, instant now,
                       std::uint64_t seed)
{
    auto known = peers.reachable();
    milliseconds patience = peers.peer_timeout();
    relay_round round;
    for (const auto& peer : known)
    {
        if (peer.domain == options.domain)
        {
            round.same_domain.push_back(peer.address);
        }
    }
    std::mt19937_64 random(seed);
    bool reaches_far =
        options.may_relay ? is_relay(known, options, patience, now) : round.same_domain.empty();
    if (reaches_far)
    {
        add_far_peers(round, known, options, patience, now, random);
    }
    std::shuffle(round.same_domain.begin(), round.same_domain.end(), random);
    std::shuffle(round.cross_domain.begin(), round.cross_domain.end(), random);
    return round;
}

milliseconds relay_interval(const relay_plan_options& options, std::size_t n)
{
    auto share = options.target_round_time / static_cast<int>(std::max<std::size_t>(n, 1));
    return std::max(share, options.min_exchange_interval);
}

} // namespace banyanshunt
