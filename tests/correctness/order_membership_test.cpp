/// \file
/// Guards against a fleet in which every host renews a membership that gives it no engines, and
/// against one in which too few hosts are left to order them.

#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "coordination/order_membership.hpp"

using namespace banyanshunt;

namespace
{

/// Hosts "a0", "a1" and so on, in domains "a", "b" and so on.
std::vector<known_host> fleet(int domains, int hosts_per_domain)
{
    std::vector<known_host> hosts;
    for (int domain = 0; domain < domains; ++domain)
    {
        std::string name(1, static_cast<char>('a' + domain));
        for (int n = 0; n < hosts_per_domain; ++n)
        {
            hosts.push_back(
                {.it = {.host = host_id(name + std::to_string(n)), .domain = domain_id(name)},
                 .live = true});
        }
    }
    return hosts;
}

std::set<host_id> members_of(const std::vector<known_host>& hosts, std::size_t count,
                             const std::set<host_id>& members = {})
{
    std::set<host_id> result;
    for (const auto& host : hosts)
    {
        if (host.live &&
            is_order_member(host.it.host, hosts, count, members.contains(host.it.host)))
        {
            result.insert(host.it.host);
        }
    }
    return result;
}

void kill(std::vector<known_host>& hosts, const std::set<host_id>& killed)
{
    for (auto& host : hosts)
    {
        host.live = host.live && !killed.contains(host.it.host);
    }
}

} // namespace

TEST_CASE("members of the group that orders engines")
{
    SECTION("in a fleet of 195 hosts and 124 engines, one host in nine renews a membership")
    {
        auto hosts = fleet(6, 33);
        std::size_t count = order_member_count(124, 6, 24);
        CHECK(count == 21);
        auto members = members_of(hosts, count);
        CHECK(members.size() == count);

        SECTION("each failure domain has three or more of them")
        {
            std::map<char, int> by_domain;
            for (const auto& host : members)
            {
                ++by_domain[host.str().front()];
            }
            CHECK(by_domain.size() == 6);
            CHECK(std::all_of(by_domain.begin(), by_domain.end(),
                              [](const auto& it) { return it.second >= 3; }));
        }
        SECTION("a member that dies is not replaced, as that would move other members' engines")
        {
            kill(hosts, {*members.begin()});
            auto left = members;
            left.erase(left.begin());
            CHECK(members_of(hosts, count, left) == left);
        }
        SECTION("when most of them are gone, other hosts join")
        {
            kill(hosts, members);
            CHECK(members_of(hosts, count).size() == (count + 1) / 2);
        }
        SECTION("hosts that are added join, and no member leaves for them")
        {
            for (int n = 33; n < 39; ++n)
            {
                hosts.push_back(
                    {.it = {.host = host_id("a" + std::to_string(n)), .domain = domain_id("a")},
                     .live = true});
            }
            auto after = members_of(hosts, count, members);
            CHECK(std::includes(after.begin(), after.end(), members.begin(), members.end()));
            CHECK(after.size() <= 2 * count);
        }
        SECTION("a host far down the ranking that joined for others leaves when they are back")
        {
            auto everybody = members_of(hosts, hosts.size());
            auto after = members_of(hosts, count, everybody);
            CHECK(after.size() == 2 * count);
        }
    }
    SECTION("in a small fleet every host is a member, so that each can be lost")
    {
        CHECK(members_of(fleet(4, 2), order_member_count(12, 4, 12)).size() == 8);
    }
    SECTION("a fleet with few engines has two members in each failure domain")
    {
        CHECK(order_member_count(3, 6, 24) == 12);
    }
    SECTION("there are no more members than partitions")
    {
        CHECK(order_member_count(780, 6, 24) == 24);
    }
    SECTION("without engines there are none")
    {
        CHECK(order_member_count(0, 6, 24) == 0);
        CHECK(members_of(fleet(2, 3), 0).empty());

        SECTION("a member that lost sight of the engines stays, as others may see them")
        {
            CHECK(is_order_member(host_id("a0"), fleet(2, 3), 0, true));
        }
    }
}
