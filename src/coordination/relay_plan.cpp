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

using addresses_by_host = std::map<std::string, std::string>;

std::vector<std::string> relays_of(const addresses_by_host& members)
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
    addresses_by_host alive;
    addresses_by_host all;
};

domain_members members_of(const std::vector<peer_info>& peers, const domain_id& domain,
                          milliseconds timeout, instant now)
{
    domain_members it;
    for (const auto& peer : peers)
    {
        if (peer.domain != domain)
        {
            continue;
        }
        it.all[peer.host.str()] = peer.address;
        if (peer.heartbeat_within(timeout, now))
        {
            it.alive[peer.host.str()] = peer.address;
        }
    }
    return it;
}

bool is_relay(const std::vector<peer_info>& peers, const relay_plan_options& options,
              milliseconds timeout, instant now)
{
    addresses_by_host members;
    for (const auto& peer : peers)
    {
        if (peer.domain == options.domain && peer.heartbeat_within(timeout, now))
        {
            members[peer.host.str()] = peer.address;
        }
    }
    members[options.self.str()] = "";
    auto relays = relays_of(members);
    return std::find(relays.begin(), relays.end(), options.self.str()) != relays.end();
}

// Adds the relays of each other domain, and one host chosen at random from all its known hosts,
// live or not: all its relays may have stopped, and a host that has just started there may not be
// reachable in any other way.
void add_cross_domain_peers(relay_round& round, const std::vector<peer_info>& known,
                            const relay_plan_options& options, milliseconds timeout, instant now,
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
        auto members = members_of(known, domain, timeout, now);
        for (const auto& name : relays_of(members.alive.empty() ? members.all : members.alive))
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
    milliseconds timeout = peers.peer_timeout();
    relay_round round;
    for (const auto& peer : known)
    {
        if (peer.domain == options.domain)
        {
            round.same_domain.push_back(peer.address);
        }
    }
    std::mt19937_64 random(seed);
    bool contacts_other_domains =
        options.may_relay ? is_relay(known, options, timeout, now) : round.same_domain.empty();
    if (contacts_other_domains)
    {
        add_cross_domain_peers(round, known, options, timeout, now, random);
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
