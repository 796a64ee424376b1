// Sound servers that send nothing for a second or so and go on, at any point of a response, beside
// planned stops, reloads and changes of the configuration.

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds silence = 1500ms;

/// Sets the streams of engines: ten events in half a second.
void set_streams(backend_stand_in& engine)
{
    engine.events_in_stream = 10;
    engine.event_pause_ms = 50;
}

std::future<serve_case::call_result> send_stream(const serve_case& it, const std::string& id)
{
    return std::async(std::launch::async,
                      [&it, id] { return it.send("POST", "/guide/1", id, "good-key", "busy"); });
}

} // namespace

TEST_CASE("A server that falls silent for a second ends no response during a stop or a change")
{
    serve_case it;
    set_streams(it.engine1);
    set_streams(it.engine2);
    REQUIRE(it.started);
    const std::string events = "token10\n";

    // Before the first event, between events, and before the last.
    for (auto wait : {10ms, 250ms, 480ms})
    {
        INFO("the silence begins " << wait.count() << " ms after the request");
        auto begin_silence = [&]
        {
            std::this_thread::sleep_for(wait);
            it.engine1.fall_silent(silence);
            it.engine2.fall_silent(silence);
        };
        SECTION("beside a change of the configuration, " + std::to_string(wait.count()))
        {
            auto stream = send_stream(it, "stream");
            begin_silence();
            it.store.put("keyed.op", "config", serve_manifest(2, {"good-key", "new-key"}));
            auto response = stream.get();
            CHECK(response.status == 200);
            CHECK(response.body.find(events) != std::string::npos);
            auto read = it.get("/read/1", "read");
            CHECK(read.first == 200);
        }
        SECTION("beside a reload, " + std::to_string(wait.count()))
        {
            auto stream = send_stream(it, "stream");
            begin_silence();
            std::raise(SIGHUP);
            auto response = stream.get();
            CHECK(response.status == 200);
            CHECK(response.body.find(events) != std::string::npos);
        }
        SECTION("beside a planned stop, " + std::to_string(wait.count()))
        {
            auto stream = send_stream(it, "stream");
            begin_silence();
            it.host().request_stop();
            auto response = stream.get();
            CHECK(response.status == 200);
            CHECK(response.body.find(events) != std::string::npos);
            REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
        }
    }
}

TEST_CASE("A booking whose server falls silent for a second is answered, also beside a stop")
{
    serve_case it;
    REQUIRE(it.started);
    it.desk1.run_ms = 200;
    it.desk2.run_ms = 200;
    auto booking = std::async(std::launch::async,
                              [&] { return it.send("POST", "/book/1", "booking", "good-key"); });
    REQUIRE(serve_case::eventually(
        [&] {
            return serve_case::runs(it.desk1, "booking") + serve_case::runs(it.desk2, "booking") ==
                   1;
        }));
    it.desk1.fall_silent(silence);
    it.desk2.fall_silent(silence);

    SECTION("beside a stop")
    {
        it.host().request_stop();
        CHECK(booking.get().status == 200);
        REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
    }
    SECTION("beside a change of the configuration and a reload")
    {
        it.store.put("keyed.op", "config", serve_manifest(2, {"good-key", "new-key"}));
        std::raise(SIGHUP);
        CHECK(booking.get().status == 200);
    }
    // It may run once only, however long its server is silent.
    CHECK(serve_case::runs(it.desk1, "booking") + serve_case::runs(it.desk2, "booking") == 1);
}

TEST_CASE("A stream is not given up on its last permitted server, which falls silent for a second")
{
    serve_case it;
    backend_stand_in engine3("e3", {"busy"});
    it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
    for (auto* engine : {&it.engine1, &it.engine2, &engine3})
    {
        engine->events_in_stream = 20;
        engine->event_pause_ms = 50;
    }
    REQUIRE(it.started);
    // Its host knows the third engine.
    std::this_thread::sleep_for(1500ms);

    SECTION("its first server falls silent, it goes on at a second, and that falls silent, too")
    {
        auto stream = send_stream(it, "stream");
        std::vector<backend_stand_in*> used;
        REQUIRE(serve_case::eventually(
            [&]
            {
                for (auto* engine : {&it.engine1, &it.engine2, &engine3})
                {
                    bool is_new = std::find(used.begin(), used.end(), engine) == used.end();
                    if (is_new && serve_case::runs(*engine, "stream") > 0)
                    {
                        std::this_thread::sleep_for(120ms);
                        // The first is silent for longer than a stream waits.
                        engine->fall_silent(used.empty() ? 4500ms : silence);
                        used.push_back(engine);
                    }
                }
                return used.size() == 2;
            }));
        auto response = stream.get();
        CHECK(response.status == 200);
        CHECK(response.body.find("token20\n") != std::string::npos);
    }
}

TEST_CASE("A silent server is not given up by a request that the new configuration would not send")
{
    serve_case it;
    set_streams(it.engine1);
    set_streams(it.engine2);
    for (auto* engine : {&it.engine1, &it.engine2})
    {
        engine->events_in_stream = 30;
    }
    REQUIRE(it.started);
    auto stream = send_stream(it, "stream");
    REQUIRE(serve_case::eventually(
        [&] {
            return serve_case::runs(it.engine1, "stream") +
                       serve_case::runs(it.engine2, "stream") ==
                   1;
        }));
    std::this_thread::sleep_for(150ms);

    SECTION("its key is withdrawn while it runs, and its server is silent for a while")
    {
        it.store.put("keyed.op", "config", serve_manifest(2, {"new-key"}));
        std::this_thread::sleep_for(300ms);
        it.engine1.fall_silent(silence);
        it.engine2.fall_silent(silence);
        auto response = stream.get();
        CHECK(response.status == 200);
        CHECK(response.body.find("token30\n") != std::string::npos);
    }
    SECTION("the same without the silence")
    {
        it.store.put("keyed.op", "config", serve_manifest(2, {"new-key"}));
        std::this_thread::sleep_for(300ms);
        auto response = stream.get();
        CHECK(response.status == 200);
        CHECK(response.body.find("token30\n") != std::string::npos);
    }
}

TEST_CASE("Streams of a server that falls silent for a while end well if the other server is full")
{
    serve_case it(2);
    it.engine1.events_in_stream = 80;
    it.engine1.event_pause_ms = 50;
    REQUIRE(it.started);
    it.store.put("keyed.servers", "e2", "");
    std::this_thread::sleep_for(1500ms);
    constexpr int streams = 3;
    std::vector<std::future<serve_case::call_result>> open;
    open.reserve(streams);
    for (int n = 0; n < streams; ++n)
    {
        open.push_back(send_stream(it, "stream" + std::to_string(n)));
    }
    REQUIRE(serve_case::eventually(
        [&]
        {
            std::size_t sum = 0;
            for (int n = 0; n < streams; ++n)
            {
                sum += serve_case::runs(it.engine1, "stream" + std::to_string(n));
            }
            return sum == streams;
        }));
    // Its host learns that another engine holds the model, and that engine has no room by the time
    // it is asked.
    backend_stand_in engine3("e3", {"busy"});
    engine3.active_fault = backend_stand_in::fault::full;
    it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
    std::this_thread::sleep_for(1500ms);

    SECTION("more streams than the retry budget allows two repeats")
    {
        it.engine1.fall_silent(silence);
        for (int n = 0; n < streams; ++n)
        {
            auto response = open.at(n).get();
            INFO("stream" << n << ": " << response.body.size() << " bytes");
            CHECK(response.status == 200);
            CHECK(response.body.find("token80\n") != std::string::npos);
        }
    }
}

TEST_CASE(
    "A long response whose server falls silent in the middle is the whole response of one run")
{
    serve_case it;
    REQUIRE(it.started);
    constexpr int body_bytes = 200000;
    for (auto* desk : {&it.desk1, &it.desk2})
    {
        desk->body_bytes = body_bytes;
        desk->piece_pause_ms = 20;
    }

    SECTION("after more than is read before the caller gets any of it")
    {
        auto read = std::async(std::launch::async, [&] { return it.get("/read/1", "read"); });
        // 30 pieces, 120 KB.
        std::this_thread::sleep_for(600ms);
        it.desk1.fall_silent(silence);
        it.desk2.fall_silent(silence);
        auto [status, body] = read.get();
        CHECK(status == 200);
        CHECK(body.size() == body_bytes);
        CHECK(body.find_first_not_of('x') == std::string::npos);
        bool is_response_of_one_run = body.find("HTTP/1.1 200") == std::string::npos;
        CHECK(is_response_of_one_run);
    }
    SECTION("the same without the silence")
    {
        auto [status, body] = it.get("/read/1", "read");
        CHECK(status == 200);
        CHECK(body.size() == body_bytes);
        CHECK(body.find_first_not_of('x') == std::string::npos);
    }
}

TEST_CASE("A long run at a server that answers others meanwhile is answered when it ends")
{
    serve_case it;
    REQUIRE(it.started);
    // Its route allows 8 s.
    it.desk1.slow_run_ms = 7400;
    it.desk2.slow_run_ms = 7400;

    SECTION("without a byte for longer than a server may be silent")
    {
        auto slow = std::async(std::launch::async, [&] { return it.get("/read/slow", "slow"); });
        for (int n = 0; n < 90; ++n)
        {
            it.get("/read/1", "quick" + std::to_string(n));
            std::this_thread::sleep_for(100ms);
        }
        CHECK(slow.get().first == 200);
    }
}
