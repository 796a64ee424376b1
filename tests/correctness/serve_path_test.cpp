// Runs a complete entry host on the event loop, with stand-ins for the platform and the backend
// servers.

#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <sstream>

#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const std::string complete_stream =
    "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\nid: 3\ndata: token3\n\n"
    "id: 4\ndata: token4\n\nid: 5\ndata: token5\n\n";

} // namespace

TEST_CASE("An entry host on the event loop serves callers by the platform's configuration")
{
    serve_case it;
    REQUIRE(it.started);

    SECTION("a request runs for the workspace whose key came with it, and no server sees the key")
    {
        auto [status, body] = it.stream("r1", "busy");
        CHECK(status == 200);
        CHECK(body == complete_stream);
        auto served = it.engine1.served();
        auto more = it.engine2.served();
        served.insert(served.end(), more.begin(), more.end());
        REQUIRE(served.size() == 1);
        CHECK(served[0].workspace == "clinics");
        CHECK(served[0].body == "a body");
        CHECK_FALSE(served[0].has_key);
    }
    SECTION("unknown keys and routes are refused")
    {
        CHECK(it.call("GET", "/read/1", "r1", "bad-key").first == 401);
        CHECK(it.call("GET", "/nowhere/1", "r1", "good-key").first == 404);
    }
    SECTION("request outcomes are counted at /metrics, and every metric is documented")
    {
        REQUIRE(it.get("/read/1", "counted").first == 200);
        std::string text = it.scrape();
        CHECK(text.find("banyanshunt_requests_total{outcome=\"answered\"") != std::string::npos);
        CHECK(text.find("banyanshunt_config_version 1") != std::string::npos);
        std::ifstream file("docs/OPERATIONS.md");
        std::ostringstream page;
        page << file.rdbuf();
        std::regex family("# TYPE (\\w+) ");
        for (std::sregex_iterator found(text.begin(), text.end(), family), end; found != end;
             ++found)
        {
            INFO((*found)[1]);
            CHECK(page.str().find("`" + (*found)[1].str()) != std::string::npos);
        }
    }
    SECTION("a request that a server did not execute is sent to another server")
    {
        it.desk1.active_fault = backend_stand_in::fault::full;
        for (int n = 0; n < 4; ++n)
        {
            CHECK(it.call("POST", "/book/1", "b" + std::to_string(n), "good-key").first == 200);
        }
    }
    SECTION(
        "a non-idempotent request whose response was lost is not repeated or reported as not run")
    {
        it.desk1.active_fault = backend_stand_in::fault::lose_response;
        it.desk2.active_fault = backend_stand_in::fault::lose_response;
        auto [status, body] = it.call("POST", "/book/1", "b1", "good-key");
        CHECK(status == 502);
        CHECK(body.find("may_have_run") != std::string::npos);
        CHECK(it.runs(it.desk1, "b1") + it.runs(it.desk2, "b1") == 1);
    }
    SECTION("a broken stream resumes at another server, with no event lost or duplicated")
    {
        it.engine1.active_fault = backend_stand_in::fault::break_stream;
        it.engine2.active_fault = backend_stand_in::fault::break_stream;
        std::thread clear_faults(
            [&]
            {
                it.eventually(
                    [&] { return it.runs(it.engine1, "s1") + it.runs(it.engine2, "s1") > 0; });
                it.engine1.active_fault = backend_stand_in::fault::none;
                it.engine2.active_fault = backend_stand_in::fault::none;
            });
        // The first server always breaks off. Whether the second does depends on when the fault is
        // cleared.
        auto [status, body] = it.stream("s1", "busy");
        clear_faults.join();
        auto repeated = it.stream("s2", "busy");
        CHECK(repeated.second == complete_stream);
        CHECK((status == 0 || body == complete_stream));
        CHECK(complete_stream.rfind(body, 0) == 0);
    }
    SECTION("a model that no server holds is loaded for a waiting request")
    {
        REQUIRE(serve_case::eventually([&] { return it.stream("m1", "rare").first == 200; }));
        CHECK(it.engine1.orders() + it.engine2.orders() == 1);
    }
    SECTION("a revoked key stops working, and the configuration version never decreases")
    {
        it.store.put("keyed.op", "config", serve_manifest(3, {"other-key"}));
        REQUIRE(serve_case::eventually([&] { return it.get("/read/1", "r1").first == 401; }));
        it.store.put("keyed.op", "config", serve_manifest(2, {"good-key"}));
        std::this_thread::sleep_for(200ms);
        CHECK(it.get("/read/1", "r2").first == 401);
        CHECK(it.call("GET", "/read/1", "r3", "other-key").first == 200);
    }
    SECTION("a host that cannot confirm its configuration refuses keys, and is not ready")
    {
        it.store.forced_status = 503;
        REQUIRE(serve_case::eventually([&] { return it.get("/read/1", "r1").first == 503; }));
        CHECK(it.ready() == 503);
        it.store.forced_status = 0;
        REQUIRE(serve_case::eventually([&] { return it.get("/read/1", "r2").first == 200; }));
    }
    SECTION("a draining server gets no new requests")
    {
        it.store.put("keyed.servers", "d1", it.desk1.registry_entry("desk", true));
        std::this_thread::sleep_for(1500ms);
        auto before = it.desk1.served().size();
        for (int n = 0; n < 6; ++n)
        {
            CHECK(it.get("/read/1", "l" + std::to_string(n)).first == 200);
        }
        CHECK(it.desk1.served().size() == before);
    }
}

TEST_CASE("A planned stop completes accepted requests and exits with status 0")
{
    serve_case it;
    it.host().request_stop();
    CHECK(it.get("/read/1", "late").first == 200);
    REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
}

TEST_CASE("A planned stop refuses requests that wait for a server before the grace period ends")
{
    // Guards against a request that waits for longer than the grace period and is then cut off
    // without a response.
    serve_case it;
    REQUIRE(it.started);
    it.host().request_stop();
    std::this_thread::sleep_for(500ms);
    CHECK(it.stream("waits", "nobody-has-it").first == 503);
}

TEST_CASE("A planned stop completes a request that arrives while the host leaves its group")
{
    serve_case it;
    REQUIRE(it.started);
    it.store.leave_delay_ms = 500;
    it.host().request_stop();
    REQUIRE(serve_case::eventually([&] { return it.store.leave_calls > 0; }));
    // It waits for a model, longer than the call to leave takes.
    CHECK(it.stream("meets-the-leaving", "nobody-has-it").first == 503);
    REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
}
