/// \file
/// Owned shares of two entry hosts in one process, over gRPC and the log service's stand-in. Guards
/// against a host that cannot grant more than its own share because loans do not reach it.

#include <thread>

#include <catch2/catch.hpp>

#include "entry/share_subsystem.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "stand_ins/platform_stand_in.hpp"
#include "stand_ins/ticket_text.hpp"

using namespace banyanshunt;

namespace
{

const workspace_id clinics("clinics");

// The share subsystem of an entry host and its dependencies, without request handling.
struct share_node
{
    entry_settings settings;
    http_client http;
    peer_channels channels{std::nullopt};
    metrics counters;
    state_subsystem state;
    share_subsystem shares;
    peer_server peers;

    share_node(const std::string& name, const std::string& platform)
        : settings(settings_of(name, platform)),
          state(settings, http, channels, counters, [](const auto&) {}),
          shares(settings, http, channels, counters, state),
          peers({.credentials = {}, .services = {state.service(), shares.service()}})
    {
        state.start(peers.address(), "127.0.0.1:0");
        shares.start();
    }

    ~share_node()
    {
        shares.stop();
        state.stop();
    }

    static entry_settings settings_of(const std::string& name, const std::string& platform)
    {
        entry_settings it;
        it.host = {.name = name, .domain = "north"};
        it.platform = {.log = platform, .hosts = platform, .weights = platform};
        it.shares.loan_duration = milliseconds(1000);
        return it;
    }

    bool reserve(std::int64_t n)
    {
        return bool(shares.reserve(clinics, tokens(n), boot_clock().now()));
    }

    // Retries until the reservation is granted; the time limit of the test program ends a failed
    // wait.
    void reserve_soon(std::int64_t n)
    {
        while (!reserve(n))
        {
            std::this_thread::sleep_for(milliseconds(2));
        }
    }
};

} // namespace

TEST_CASE("a host gets more than its own share by loans from another over gRPC")
{
    platform_stand_in platform{{}};
    std::string ticket = ticket_text(
        1, {{"workspaces", R"({"clinics":{"tokens_per_second":200,"burst_tokens":400}})"}});
    log_entry entry{.id = record_id("t"), .data = ticket};
    REQUIRE(platform.log().append(tickets_stream, std::span(&entry, 1)));
    share_node one("n1", platform.address());
    share_node two("n2", platform.address());
    std::vector<listed_host> hosts = {{.name = "n1",
                                       .role = "entry",
                                       .domain = domain_id("north"),
                                       .address = one.peers.address()},
                                      {.name = "n2",
                                       .role = "entry",
                                       .domain = domain_id("north"),
                                       .address = two.peers.address()}};
    http_client http;
    REQUIRE(http.send({.address = platform.address(),
                       .method = "PUT",
                       .path = "/hosts",
                       .headers = {},
                       .body = encode_hosts(hosts)}));

    // Once both have joined, each host's own share holds at most 200 tokens.
    two.reserve_soon(1);
    one.reserve_soon(1);
    one.reserve_soon(300);
    CHECK_THAT(one.counters.text(), Catch::Contains("banyanshunt_share_loans_total"));

    SECTION("a cost above the burst is refused without a retry time")
    {
        auto refused = one.shares.reserve(clinics, tokens(401), boot_clock().now());
        REQUIRE_FALSE(refused);
        CHECK_FALSE(refused.error().retry_after);
    }
}
