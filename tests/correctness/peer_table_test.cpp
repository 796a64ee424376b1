/// \file
/// The peer table keeps list entries and heartbeats separate, and the relay plan bounds the number
/// of exchanges per host independently of the number of hosts.

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "coordination/relay_plan.hpp"

using namespace banyanshunt;

namespace
{

std::vector<listed_host> list_of(int hosts, int domains)
{
    std::vector<listed_host> list;
    list.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
    {
        list.push_back({.name = fmt::format("h{}", i),
                        .role = entry_role,
                        .domain = domain_id(fmt::format("d{}", i % domains)),
                        .address = fmt::format("a{}", i)});
    }
    return list;
}

heartbeat beat(const std::string& host, std::int64_t incarnation, std::int64_t next_offset)
{
    return {.host = host_id(host),
            .role = entry_role,
            .incarnation = incarnation_id(incarnation),
            .domain = domain_id("d0"),
            .peer_address = "heard-" + host,
            .admin_address = "",
            .leaving = false,
            .next_offset = log_offset(next_offset),
            .last_ticket = ticket_number(next_offset),
            .view_age = {}};
}

} // namespace

TEST_CASE("a peer is known by the list, by its heartbeats, or by both")
{
    test_clock clock;
    peer_table peers({.self = host_id("h0"), .domain = domain_id("d0")});
    peers.handle_host_list(list_of(2, 1), clock.now());
    REQUIRE(peers.find(host_id("h1")));
    CHECK(peers.find(host_id("h0")) == nullptr);

    SECTION("when only listed, it is reachable but does not count as live")
    {
        CHECK(peers.reachable().size() == 1);
        CHECK(peers.live(clock.now()).empty());
    }
    SECTION("after a heartbeat, it is live until the peer timeout")
    {
        peers.handle_heartbeat(beat("h1", 1, 5), clock.now());
        CHECK(peers.live_in(domain_id("d0"), clock.now()).size() == 1);
        CHECK(peers.find(host_id("h1"))->address == "heard-h1");
        clock.advance(peers.peer_timeout() + milliseconds(1));
        CHECK(peers.live(clock.now()).empty());
        CHECK(peers.find(host_id("h1"))->listed);
    }
    SECTION("after a heartbeat but not listed, it is kept for the retention time")
    {
        peers.handle_heartbeat(beat("h1", 1, 5), clock.now());
        peers.handle_host_list({}, clock.now());
        CHECK_FALSE(peers.find(host_id("h1"))->listed);
        CHECK(peers.live(clock.now()).size() == 1);
        clock.advance(peers.options().retention + milliseconds(1));
        peers.handle_host_list({}, clock.now());
        CHECK(peers.find(host_id("h1")) == nullptr);
    }
    SECTION("a delayed heartbeat of a replaced incarnation changes nothing")
    {
        peers.handle_heartbeat(beat("h1", 1, 5), clock.now());
        peers.handle_heartbeat(beat("h1", 2, 3), clock.now());
        peers.handle_heartbeat(beat("h1", 1, 9), clock.now());
        CHECK(peers.find(host_id("h1"))->last_heartbeat->incarnation == incarnation_id(2));
        CHECK(peers.find(host_id("h1"))->last_heartbeat->next_offset == log_offset(3));
    }
    SECTION("within one incarnation, a peer's applied offset never goes back")
    {
        peers.handle_heartbeat(beat("h1", 1, 5), clock.now());
        peers.handle_heartbeat(beat("h1", 1, 4), clock.now());
        CHECK(peers.find(host_id("h1"))->last_heartbeat->next_offset == log_offset(5));
    }
    SECTION("a peer that reported that it is leaving is not live")
    {
        auto leaving = beat("h1", 1, 5);
        leaving.leaving = true;
        peers.handle_heartbeat(leaving, clock.now());
        peers.handle_heartbeat(beat("h1", 1, 6), clock.now());
        CHECK(peers.live(clock.now()).empty());
    }
}

TEST_CASE("a host exchanges with its domain, and only relays with other domains")
{
    constexpr int domains = 4;
    test_clock clock;
    auto hosts = GENERATE(8, 32, 410);
    std::set<std::string> relays;
    for (int i = 0; i < hosts; ++i)
    {
        host_id self(fmt::format("h{}", i));
        domain_id domain(fmt::format("d{}", i % domains));
        peer_table peers({.self = self, .domain = domain});
        peers.handle_host_list(list_of(hosts, domains), clock.now());
        for (int j = 0; j < hosts; ++j)
        {
            auto it = beat(fmt::format("h{}", j), j, 1);
            it.domain = domain_id(fmt::format("d{}", j % domains));
            it.peer_address = fmt::format("a{}", j);
            peers.handle_heartbeat(it, clock.now());
        }
        relay_plan_options options{.self = self, .domain = domain};
        auto round = plan_round(peers, options, clock.now(), 1);

        // The round contains every peer of the domain, and never the host itself.
        std::set<std::string> same_domain(round.same_domain.begin(), round.same_domain.end());
        auto in_domain = static_cast<std::size_t>((hosts - 1 - i % domains) / domains);
        CHECK(same_domain.size() == in_domain);
        CHECK_FALSE(same_domain.contains(fmt::format("a{}", i)));

        // Only relays contact other domains, and only a few hosts of each.
        CHECK(round.cross_domain.size() <= (domains - 1) * (relays_per_domain + 1));
        if (!round.cross_domain.empty())
        {
            relays.insert(self.str());
        }
        // Whatever the number of peers, exchanges start no more often than the minimum interval.
        CHECK(relay_interval(options, round.same_domain.size()) >= options.min_exchange_interval);
    }
    CHECK(relays.size() == domains * relays_per_domain);
}
