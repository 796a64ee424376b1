/// \file
/// Tickets reach every host that any path reaches, whatever is cut, and in any order of healing.

#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "control/fleet_view.hpp"
#include "stand_ins/entry_fleet.hpp"

using namespace banyanshunt;

namespace
{

// Long enough for the slowest machine; the cases do not depend on it.
constexpr milliseconds patience(60000);

std::string ticket(int number, int rate)
{
    return fmt::format(
        R"({{"format":1,"ticket":{},"workspaces":{{"w":{{"tokens_per_second":{},"burst_tokens":9}}}}}})",
        number, rate);
}

bool reaches_all(entry_fleet& fleet, log_offset through)
{
    bool all = true;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        all = fleet.wait_for(i, through, patience) && all;
    }
    return all;
}

void wait_until_heard(entry_fleet& fleet, std::size_t i, const std::string& peer)
{
    while (true)
    {
        auto status = fleet.status(i);
        for (const auto& it : status ? status->peers : std::vector<peer_status>())
        {
            if (it.host.str() == peer && it.alive)
            {
                return;
            }
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

} // namespace

TEST_CASE("a domain that is cut off from the platform hears of tickets from other domains")
{
    entry_fleet fleet(4, 2);
    REQUIRE(reaches_all(fleet, fleet.publish(ticket(1, 1))));
    wait_until_heard(fleet, 1, "h3");

    fleet.proxy(1).set_cut(true);
    REQUIRE(reaches_all(fleet, fleet.publish(ticket(2, 2))));

    SECTION("and after healing all go on from the log")
    {
        fleet.proxy(1).set_cut(false);
        fleet.proxy(0).set_cut(true);
        REQUIRE(reaches_all(fleet, fleet.publish(ticket(3, 3))));
    }
    SECTION("and a host that starts there gets the whole state from its peers")
    {
        std::size_t i = fleet.add_host();
        std::size_t j = fleet.add_host();
        REQUIRE(j % 2 == 1);
        fleet.list_hosts();
        // The cut host cannot read the list, but those that can speak to it.
        CHECK(fleet.wait_for(i, log_offset(2), patience));
        CHECK(fleet.wait_for(j, log_offset(2), patience));
    }
    SECTION("and an operator sees every host confirm")
    {
        http_client http;
        auto hosts = query_hosts(http, {fleet.host(0).admin_address()}, milliseconds(2000));
        CHECK(hosts.size() == 4);
        CHECK(unconfirmed(hosts, ticket_number(2)).empty());
        CHECK(unconfirmed(hosts, ticket_number(3)).size() == 4);
    }
}

TEST_CASE("a host that finds neither log nor peer says so and refuses")
{
    entry_fleet fleet(0, 1);
    fleet.proxy(0).set_cut(true);
    fleet.publish(ticket(1, 1));
    std::size_t i = fleet.add_host();
    http_client http;
    auto ready = http.send({.address = fleet.host(i).admin_address(),
                            .method = "GET",
                            .path = "/ready",
                            .headers = {},
                            .body = {}});
    REQUIRE(ready);
    CHECK(ready->status == 503);
    auto refused = http.send({.address = fleet.host(i).caller_address(),
                              .method = "POST",
                              .path = "/v1/completions",
                              .headers = {{"Authorization", "Bearer k.s"}},
                              .body = R"({"model":"m","prompt":"p"})"});
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK_THAT(refused->body, Catch::Contains("state_unavailable"));
    CHECK_THAT(refused->body, Catch::Contains("\"run\":\"not_run\""));

    SECTION("unless its settings name a peer, which has the state")
    {
        fleet.proxy(0).set_cut(false);
        REQUIRE(fleet.wait_for(i, log_offset(1), patience));
        fleet.proxy(0).set_cut(true);
        std::size_t j = fleet.add_host({fleet.host(i).peer_address()});
        CHECK(fleet.wait_for(j, log_offset(1), patience));
    }
    SECTION("until the log is back")
    {
        fleet.proxy(0).set_cut(false);
        CHECK(fleet.wait_for(i, log_offset(1), patience));
    }
}
