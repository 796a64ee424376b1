#include "coordination/order_membership.hpp"

#include <algorithm>
#include <utility>

namespace banyanshunt
{

namespace
{

constexpr const char* ranking_key = "orders";

/// Whether `own` is among the first `count` of the hosts that `counts` accepts.
template <class Predicate>
bool ranks_within(const host_id& own, const std::vector<known_host>& hosts, std::size_t count,
                  const Predicate& counts)
{
    std::vector<ranked_host> ranked;
    for (const auto& host : hosts)
    {
        if (counts(host) || host.it.host == own)
        {
            ranked.push_back(host.it);
        }
    }
    auto first = first_in_ranking(ranking_key, std::move(ranked), count);
    return std::find(first.begin(), first.end(), own) != first.end();
}

/// Hosts that were added rank before some members; those stay, up to this many times the number.
constexpr std::size_t staying_members_factor = 2;

} // namespace

std::size_t order_member_count(std::size_t engines, std::size_t domains, std::size_t partitions,
                               const order_membership_options& options)
{
    if (engines == 0)
    {
        return 0;
    }
    std::size_t for_engines =
        (engines + options.engines_per_member - 1) / options.engines_per_member;
    std::size_t for_domains = options.members_per_domain * domains;
    return std::min(std::max(for_engines, for_domains), std::max<std::size_t>(partitions, 1));
}

bool is_order_member(const host_id& own, const std::vector<known_host>& hosts, std::size_t count,
                     bool is_member)
{
    if (count == 0)
    {
        return is_member;
    }
    auto within = [&](std::size_t places)
    { return ranks_within(own, hosts, places, [](const known_host&) { return true; }); };
    auto within_live = [&](std::size_t places)
    { return ranks_within(own, hosts, places, [](const known_host& it) { return it.live; }); };
    if (is_member)
    {
        return within(staying_members_factor * count) || within_live(count);
    }
    // More than half of the members are gone before another host takes a place.
    return within(count) || within_live((count + 1) / 2);
}

std::vector<host_id> order_members(const std::vector<known_host>& hosts, std::size_t count)
{
    std::vector<ranked_host> ranked;
    ranked.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        ranked.push_back(host.it);
    }
    return first_in_ranking(ranking_key, std::move(ranked), staying_members_factor * count);
}

} // namespace banyanshunt
