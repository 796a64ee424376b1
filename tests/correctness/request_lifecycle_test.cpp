/// \file
/// Requests on complete entry hosts. Guards against callers' headers or keys that leak to backend
/// servers, calls that run twice after a lost response, and requests that are cut off or run
/// although a host stops, a key is withdrawn or the caller disconnects.

#include <algorithm>
#include <future>

#include "request_fleet.hpp"

using namespace banyanshunt;
using Catch::Contains;

namespace
{

std::string completion(const std::string& model, int max_tokens, bool stream = false)
{
    return R"({"model":")" + model + R"(","prompt":"swap","max_tokens":)" +
           std::to_string(max_tokens) + (stream ? R"(,"stream":true})" : "}");
}

bool has_field(const http_call_response& response, const std::string& name)
{
    return std::any_of(response.headers.begin(), response.headers.end(),
                       [&](const http_field& it) { return it.name == name; });
}

double metric(request_fleet& fleet, const entry_host& host, const std::string& name)
{
    auto response = fleet.http.send({.address = host.admin_address(),
                                     .method = "GET",
                                     .path = "/metrics",
                                     .headers = {},
                                     .body = {}});
    auto at = response->body.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(response->body.substr(at + name.size() + 2));
}

} // namespace

TEST_CASE("a call to a plain service")
{
    request_fleet fleet;

    SECTION("passes on the listed fields only, and the body's type")
    {
        auto response = fleet.post(fleet.north, "/work-orders", "unit=4",
                                   {{"Cookie", "session=secret"},
                                    {"X-Api-Key", "secret"},
                                    {"Proxy-Authorization", "secret"},
                                    {"Content-Type", "application/x-www-form-urlencoded"},
                                    {"Accept-Language", "ne"}});
        CHECK(response.status == 200);
        auto seen = fleet.service.headers_seen();
        for (const auto& field : seen)
        {
            CHECK_THAT(field, !Contains("secret"));
            CHECK_THAT(field, !Contains("authorization"));
        }
        auto saw = [&](const std::string& field)
        { return std::count(seen.begin(), seen.end(), field) == 1; };
        CHECK(saw("content-type: application/x-www-form-urlencoded"));
        CHECK(saw("accept-language: ne"));
    }
    SECTION("on an open route needs no key, and passes on none")
    {
        auto response = fleet.post(fleet.north, "/open", "{}", {}, "k9.secret");
        CHECK(response.status == 200);
        for (const auto& field : fleet.service.headers_seen())
        {
            CHECK_THAT(field, !Contains("secret"));
        }
    }
    SECTION("returns the service's own 503")
    {
        fleet.service.faults().set({{.call = "call", .kind = fault_kind::refuse}});
        auto response = fleet.post(fleet.north, "/work-orders", "a");
        CHECK(response.status == 503);
        CHECK(response.body == "{}");
    }
    SECTION("whose response is lost is not sent again, and may have run")
    {
        fleet.service.faults().set({{.call = "call", .kind = fault_kind::lose_response}});
        auto response = fleet.post(fleet.north, "/work-orders", "a");
        CHECK_THAT(response.body, Contains("\"run\":\"may_have_run\""));
        CHECK(fleet.service.runs_of("a") == 1);
    }
    SECTION("that reached no server did not run, and costs nothing")
    {
        for (int i = 0; i < 4; ++i)
        {
            auto response =
                fleet.post(fleet.north, "/lost", "a", {{"X-Deadline-Ms", "100"}}, "k2.secret");
            CHECK_THAT(response.body, Contains("no_replica"));
            CHECK_THAT(response.body, Contains("\"run\":\"not_run\""));
        }
    }
    SECTION("that is short of tokens waits for them, unless they cannot be available in time")
    {
        CHECK(fleet.post(fleet.north, "/dear", "a", {}, "k2.secret").status == 200);
        CHECK(fleet.post(fleet.north, "/dear", "a", {}, "k2.secret").status == 200);
        auto waited = fleet.post(fleet.north, "/dear", "a", {}, "k2.secret");
        CHECK(waited.status == 200);
        auto refused =
            fleet.post(fleet.north, "/dear", "b", {{"X-Deadline-Ms", "20"}}, "k2.secret");
        CHECK(refused.status == 429);
        CHECK(has_field(refused, "Retry-After"));
        CHECK(fleet.service.runs_of("b") == 0);
    }
}

TEST_CASE("a call with an idempotency key runs once over two hosts")
{
    request_fleet fleet;
    std::vector<http_field> key = {{"Idempotency-Key", "order-7"}};
    auto post_until_decided = [&](const entry_host& host, const std::string& body)
    {
        auto response = fleet.post(host, "/work-orders", body, key);
        while (response.body.find("already_claimed") != std::string::npos)
        {
            CHECK_THAT(response.body, Contains("may_have_run"));
            response = fleet.post(host, "/work-orders", body, key);
        }
        return response;
    };

    SECTION("and the repeat gets its outcome")
    {
        auto first = fleet.post(fleet.north, "/work-orders", "a", key);
        CHECK(first.status == 200);
        auto again = post_until_decided(fleet.south, "a");
        CHECK(again.status == 200);
        CHECK(again.body == first.body);
        CHECK(has_field(again, "Idempotent-Replayed"));
        CHECK(fleet.service.runs_of("a") == 1);

        SECTION("but another body with the key is refused")
        {
            auto other = fleet.post(fleet.south, "/work-orders", "b", key);
            CHECK(other.status == 409);
            CHECK_THAT(other.body, Contains("idempotency_mismatch"));
            CHECK(fleet.service.runs_of("b") == 0);
        }
    }
    SECTION("when many callers send it to both at the same time")
    {
        std::vector<std::future<http_call_response>> responses;
        for (int i = 0; i < 12; ++i)
        {
            const entry_host& host = i % 2 == 0 ? fleet.north : fleet.south;
            responses.push_back(std::async(
                std::launch::async,
                [&] { return *fleet.http.send(fleet.call_to(host, "/work-orders", "a", key)); }));
        }
        int served = 0;
        for (auto& it : responses)
        {
            auto response = it.get();
            served += response.status == 200 ? 1 : 0;
            INFO(response.status << " " << response.body);
            CHECK((response.status == 200 || response.status == 409));
        }
        CHECK(served >= 1);
        CHECK(fleet.service.runs_of("a") == 1);
    }
    SECTION("when the first response was lost: the repeat reports that it may have run")
    {
        fleet.service.faults().set({{.call = "call", .kind = fault_kind::lose_response}});
        CHECK_THAT(fleet.post(fleet.north, "/work-orders", "a", key).body,
                   Contains("may_have_run"));
        auto again = fleet.post(fleet.south, "/work-orders", "a", key);
        CHECK(again.status == 409);
        CHECK_THAT(again.body, Contains("\"run\":\"may_have_run\""));
        CHECK(fleet.service.runs_of("a") == 1);
    }
    SECTION("or not at all while the log is down, and the response says not_run")
    {
        fleet.platform.log().set_down(true);
        auto refused = fleet.post(fleet.north, "/work-orders", "a", key);
        CHECK(refused.status == 503);
        CHECK_THAT(refused.body, Contains("claim_unavailable"));
        CHECK_THAT(refused.body, Contains("\"run\":\"not_run\""));
        CHECK(fleet.service.runs_of("a") == 0);
        fleet.platform.log().set_down(false);
        CHECK(post_until_decided(fleet.south, "a").status == 200);
        CHECK(fleet.service.runs_of("a") == 1);
    }
}

TEST_CASE("a waiting request")
{
    request_fleet fleet;

    SECTION("is refused with not_run when its key is withdrawn")
    {
        auto waiting = std::async(
            std::launch::async,
            [&] { return fleet.post(fleet.north, "/v1/completions", completion("huge", 4)); });
        while (metric(fleet, fleet.north, "banyanshunt_requests_waiting") < 1)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
        fleet.publish(ticket_text(2, {{"keys", R"({"k1":null})"}}));
        auto response = waiting.get();
        CHECK(response.status == 401);
        CHECK_THAT(response.body, Contains("\"run\":\"not_run\""));
    }
    SECTION("leaves the queue when its caller closes the connection")
    {
        auto call = fleet.call_to(fleet.north, "/v1/completions", completion("huge", 4));
        call.read_timeout = milliseconds(300);
        CHECK(!http_client().send(call));
        while (metric(fleet, fleet.north, "banyanshunt_requests_running") > 0)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    SECTION("is refused with not_run at its own deadline")
    {
        auto response = fleet.post(fleet.north, "/v1/completions", completion("huge", 4),
                                   {{"X-Deadline-Ms", "50"}});
        CHECK(response.status == 504);
        CHECK_THAT(response.body, Contains("\"run\":\"not_run\""));
        CHECK(has_field(response, "Retry-After"));
    }
}

TEST_CASE("a stream")
{
    request_fleet fleet;

    SECTION("is cancelled at the engine when its caller disconnects")
    {
        auto call =
            fleet.call_to(fleet.north, "/v1/completions", completion("guide-7b", 4000, true));
        auto read = http_client().stream(call, [](std::string_view) { return false; });
        CHECK(!read);
        while (fleet.engine.cancels() == 0)
        {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    SECTION("continues over cut and unresponsive connections without gaps or repeated tokens")
    {
        for (auto kind :
             {fault_kind::truncate, fault_kind::hang, fault_kind::reorder, fault_kind::delayed})
        {
            fleet.engine.faults().set(
                {{.call = "complete", .kind = kind, .delay = milliseconds(2500)}});
            auto response = fleet.post(fleet.north, "/v1/completions", completion("guide-7b", 6));
            CHECK(response.status == 200);
            CHECK_THAT(response.body, Contains("tok0 tok1 tok2 tok3 tok4 tok5 \""));
        }
    }
}

TEST_CASE("a graceful stop cuts off no request")
{
    request_fleet fleet;
    auto streamed = std::async(
        std::launch::async, [&]
        { return fleet.post(fleet.north, "/v1/completions", completion("guide-7b", 300, true)); });
    auto unstreamed = std::async(
        std::launch::async,
        [&] { return fleet.post(fleet.north, "/v1/completions", completion("guide-7b", 300)); });
    auto waiting =
        std::async(std::launch::async,
                   [&]
                   {
                       return fleet.post(fleet.north, "/v1/completions", completion("huge", 4),
                                         {{"X-Deadline-Ms", "1500"}});
                   });
    fleet.service.faults().set(
        {{.call = "call", .kind = fault_kind::delayed, .delay = milliseconds(700)}});
    auto slow_call = std::async(std::launch::async,
                                [&] { return fleet.post(fleet.north, "/work-orders", "a"); });
    while (metric(fleet, fleet.north, "banyanshunt_requests_running") < 4)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(fleet.stop_north());
    CHECK_THAT(streamed.get().body, Contains("tok299 ") && Catch::EndsWith("data: [DONE]\n\n"));
    CHECK_THAT(unstreamed.get().body, Contains("tok299 "));
    CHECK(slow_call.get().status == 200);
    CHECK_THAT(waiting.get().body, Contains("\"reason\":\"deadline\""));
    CHECK(fleet.service.runs_of("a") == 1);
}
