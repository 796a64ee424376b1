/// \file
/// One request end to end: a ticket in the log, a cold load ordered by a placer, and a response
/// streamed by an entry host. Guards against subsystems that work alone and not together.

#include <thread>

#include <catch2/catch.hpp>

#include "entry/entry_host.hpp"
#include "placer/placer_host.hpp"
#include "protocol/platform_codec.hpp"
#include "stand_ins/engine_stand_in.hpp"
#include "stand_ins/loopback_settings.hpp"
#include "stand_ins/platform_stand_in.hpp"
#include "stand_ins/service_stand_in.hpp"
#include "stand_ins/ticket_text.hpp"
#include "transport/http_client.hpp"

using namespace banyanshunt;

namespace
{

// One failure domain on loopback, with everything in this process.
struct small_fleet
{
    platform_stand_in platform{{.limits = {}, .load_time = milliseconds(20)}};
    engine_stand_in engine{{.weight_store = platform.address()}};
    service_stand_in service{{}};
    placer_host placer{loopback_placer(self())};
    entry_host entry{loopback_entry(self())};
    http_client http;

    small_fleet()
    {
        REQUIRE(placer.start());
        list_hosts();
        REQUIRE(entry.start());
        publish(first_ticket());
    }

    ~small_fleet()
    {
        entry.stop();
        placer.stop();
    }

    loopback_host self() const
    {
        return {.name = "n1", .domain = "north", .platform = platform.address()};
    }

    void list_hosts()
    {
        std::vector<listed_host> hosts = {{.name = "n1",
                                           .role = "placer",
                                           .domain = domain_id("north"),
                                           .address = placer.peer_address()}};
        REQUIRE(http.send({.address = platform.address(),
                           .method = "PUT",
                           .path = "/hosts",
                           .headers = {},
                           .body = encode_hosts(hosts)}));
    }

    std::string first_ticket() const
    {
        return ticket_text(
            1, {{"models", R"({"guide-7b":{"version":"v1","memory_mib":14000,"replicas":1}})"},
                {"adapters", R"({"clinics":{"base":"guide-7b","memory_mib":200}})"},
                {"workspaces", R"({"clinics":{"tokens_per_second":1000,"burst_tokens":4000}})"},
                {"keys", key_text("k1", "clinics", "secret")},
                {"servers", server_text("e1", "engine", engine.address()) + "," +
                                server_text("s1", "service", service.address())},
                {"routes", R"({"orders":{"prefix":"/work-orders","servers":["s1"]}})"}});
    }

    void publish(const std::string& ticket)
    {
        log_entry entry_of_log{.id = record_id("t"), .data = ticket};
        REQUIRE(platform.log().append(tickets_stream, std::span(&entry_of_log, 1)));
    }

    http_call_response post(const std::string& path, const std::string& body,
                            const std::string& key)
    {
        http_call call{.address = entry.caller_address(),
                       .method = "POST",
                       .path = path,
                       .headers = {{"Authorization", "Bearer " + key}},
                       .body = body,
                       .read_timeout = milliseconds(60000),
                       .keeps_connection = true};
        auto response = http.send(call);
        REQUIRE(response);
        return *response;
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
};

} // namespace

TEST_CASE("a request for a model that is not loaded is served end to end")
{
    small_fleet fleet;
    fleet.wait_until_ready();

    SECTION("a completion loads the model and returns complete")
    {
        auto response =
            fleet.post("/v1/completions", R"({"model":"guide-7b","prompt":"swap","max_tokens":3})",
                       "k1.secret");
        CHECK(response.status == 200);
        CHECK_THAT(response.body, Catch::Contains("tok0 tok1 tok2 "));
        CHECK(fleet.engine.overcommits() == 0);

        SECTION("no header with the key reaches the engine")
        {
            for (const auto& header : fleet.engine.headers_seen())
            {
                CHECK_THAT(header, !Catch::Contains("secret"));
            }
        }
    }
    SECTION("a streamed chat with an adapter returns server-sent events")
    {
        auto response = fleet.post(
            "/v1/chat/completions",
            R"({"model":"clinics","messages":[{"role":"user","content":"swap"}],"max_tokens":2,"stream":true})",
            "k1.secret");
        CHECK(response.status == 200);
        CHECK_THAT(response.body, Catch::Contains("tok1 "));
        CHECK_THAT(response.body, Catch::EndsWith("data: [DONE]\n\n"));
    }
    SECTION("a work order runs once at the plain service")
    {
        auto response = fleet.post("/work-orders", R"({"unit":"clinic-4"})", "k1.secret");
        CHECK(response.status == 200);
        CHECK(fleet.service.runs_of(R"({"unit":"clinic-4"})") == 1);
    }
    SECTION("a wrong key is refused and nothing runs")
    {
        auto response = fleet.post("/work-orders", "{}", "k1.wrong");
        CHECK(response.status == 401);
        CHECK_THAT(response.body, Catch::Contains("\"run\":\"not_run\""));
        CHECK(fleet.service.runs_of("{}") == 0);
    }
}
