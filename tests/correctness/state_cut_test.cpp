/// \file
/// Tickets reach every host to which any network path remains, whichever connections to the
/// platform are cut and in whatever order they are restored.

#include <thread>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "control/fleet_view.hpp"
#include "stand_ins/entry_fleet.hpp"

using namespace banyanshunt;

namespace
{

// Long enough for slow machines; the result of the tests does not depend on it.
constexpr milliseconds timeout(60000);

std::string ticket(int number, int rate)
{
    return fmt::format(
        R"({{"format":1,"ticket":{},"workspaces":{{"w":{{"tokens_per_second":{},"burst_tokens":9}}}}}})",
        number, rate);
}

bool reaches_all(entry_fleet& fleet, log_offset next_offset)
{
    bool all = true;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        all = fleet.wait_for(i, next_offset, timeout) && all;
    }
    return all;
}

void wait_until_alive(entry_fleet& fleet, std::size_t i, const std::string& peer)
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

TEST_CASE("a domain that is cut off from the platform receives tickets from other domains")
{
    entry_fleet fleet(4, 2);
    REQUIRE(reaches_all(fleet, fleet.publish(ticket(1, 1))));
    wait_until_alive(fleet, 1, "h3");

    fleet.proxy(1).set_cut(true);
    REQUIRE(reaches_all(fleet, fleet.publish(ticket(2, 2))));

    SECTION("and after the connection is restored all hosts continue from the log")
    {
        fleet.proxy(1).set_cut(false);
        fleet.proxy(0).set_cut(true);
        REQUIRE(reaches_all(fleet, fleet.publish(ticket(3, 3))));
    }
    SECTION("and a host that starts there gets the complete state from its peers")
    {
        std::size_t i = fleet.add_host();
        std::size_t j = fleet.add_host();
        REQUIRE(j % 2 == 1);
        fleet.list_hosts();
        // The cut-off host cannot read the host list, but hosts that can read it contact it.
        CHECK(fleet.wait_for(i, log_offset(2), timeout));
        CHECK(fleet.wait_for(j, log_offset(2), timeout));
    }
    SECTION("and an operator sees that every host has applied the ticket")
    {
        http_client http;
        auto hosts = query_hosts(http, {fleet.host(0).admin_address()}, milliseconds(2000));
        CHECK(hosts.size() == 4);
        CHECK(unconfirmed(hosts, ticket_number(2)).empty());
        CHECK(unconfirmed(hosts, ticket_number(3)).size() == 4);
    }
}

TEST_CASE("a host that reaches neither the log nor a peer reports not ready and refuses requests")
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
        REQUIRE(fleet.wait_for(i, log_offset(1), timeout));
        fleet.proxy(0).set_cut(true);
        std::size_t j = fleet.add_host({fleet.host(i).peer_address()});
        CHECK(fleet.wait_for(j, log_offset(1), timeout));
    }
    SECTION("until the log is back")
    {
        fleet.proxy(0).set_cut(false);
        CHECK(fleet.wait_for(i, log_offset(1), timeout));
    }
}
