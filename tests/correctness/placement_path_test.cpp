/// \file
/// Placers and an entry host in two failure domains over sockets: a replica in one domain serves a
/// request from the other. Guards against a demand or placement that is not relayed between the
/// lease holders of the domains.

#include <thread>

#include <catch2/catch.hpp>

#include "entry/entry_host.hpp"
#include "placer/placer_host.hpp"
#include "protocol/platform_codec.hpp"
#include "stand_ins/engine_stand_in.hpp"
#include "stand_ins/loopback_settings.hpp"
#include "stand_ins/platform_stand_in.hpp"
#include "stand_ins/ticket_text.hpp"
#include "transport/http_client.hpp"

using namespace banyanshunt;

namespace
{

// Two placers in the north, where the entry host is, and one in the south, where the engine is.
struct two_domains
{
    platform_stand_in platform{{.limits = {}, .load_time = milliseconds(20)}};
    engine_stand_in engine{{.checks_fencing = false, .weight_store = platform.address()}};
    placer_host north_1{loopback_placer(host_of("n1", "north"))};
    placer_host north_2{loopback_placer(host_of("n2", "north"))};
    placer_host south_1{loopback_placer(host_of("s1", "south"))};
    entry_host entry{loopback_entry(host_of("n2", "north"))};
    http_client http;

    two_domains()
    {
        REQUIRE(north_1.start());
        REQUIRE(north_2.start());
        REQUIRE(south_1.start());
        list_hosts();
        REQUIRE(entry.start());
        publish();
        wait_until_ready();
    }

    ~two_domains()
    {
        entry.stop();
        north_1.stop();
        north_2.stop();
        south_1.stop();
    }

    loopback_host host_of(const char* name, const char* domain) const
    {
        return {.name = name, .domain = domain, .platform = platform.address()};
    }

    static listed_host listed(const placer_host& it, const char* name, const char* domain)
    {
        return {.name = name,
                .role = "placer",
                .domain = domain_id(domain),
                .address = it.peer_address()};
    }

    void list_hosts()
    {
        std::vector<listed_host> hosts = {listed(north_1, "n1", "north"),
                                          listed(north_2, "n2", "north"),
                                          listed(south_1, "s1", "south")};
        REQUIRE(http.send({.address = platform.address(),
                           .method = "PUT",
                           .path = "/hosts",
                           .headers = {},
                           .body = encode_hosts(hosts)}));
    }

    void publish()
    {
        auto server = server_text("e1", "engine", engine.address());
        auto north = server.find("north");
        REQUIRE(north != std::string::npos);
        server.replace(north, std::string("north").size(), "south");
        log_entry ticket{
            .id = record_id("t"),
            .data = ticket_text(
                1, {{"models", R"({"guide-7b":{"version":"v1","memory_mib":14000,"replicas":1}})"},
                    {"workspaces", R"({"clinics":{"tokens_per_second":1000,"burst_tokens":4000}})"},
                    {"keys", key_text("k1", "clinics", "secret")},
                    {"servers", server}})};
        REQUIRE(platform.log().append(tickets_stream, std::span(&ticket, 1)));
    }

    void wait_until_ready()
    {
        http_call call{.address = entry.admin_address(),
                       .method = "GET",
                       .path = "/ready",
                       .headers = {},
                       .body = {}};
        while (http.send(call)->status != 200)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    http_call_response complete()
    {
        auto response = http.send({.address = entry.caller_address(),
                                   .method = "POST",
                                   .path = "/v1/completions",
                                   .headers = {{"Authorization", "Bearer k1.secret"}},
                                   .body = R"({"model":"guide-7b","prompt":"swap","max_tokens":3})",
                                   .read_timeout = milliseconds(60000),
                                   .keeps_connection = true});
        REQUIRE(response);
        return *response;
    }
};

} // namespace

TEST_CASE("a request is served by a replica in another domain")
{
    two_domains fleet;
    auto response = fleet.complete();
    CHECK(response.status == 200);
    CHECK_THAT(response.body, Catch::Contains("tok0 tok1 tok2 "));
    CHECK(fleet.engine.overcommits() == 0);

    SECTION("the request is still served after a placer of the entry host's domain has stopped")
    {
        fleet.north_1.stop();
        CHECK(fleet.complete().status == 200);
    }
}
