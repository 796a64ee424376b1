// A planned stop of a complete entry host, with requests that can end in the rest of its grace
// period and requests that cannot.

#include <catch2/catch.hpp>

#include <future>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <httplib.h>

#include "serve_case.hpp"
#include "transport/loop/event_loop.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// Grace period of the hosts of `serve_case`.
constexpr std::chrono::milliseconds stop_grace = 4000ms;
/// The longest that a refusal which is decided at once may take, on a busy machine.
constexpr std::chrono::milliseconds at_once = 500ms;

struct request_options
{
    std::string id;
    /// Without a model, the request is a booking, which is non-idempotent and not a stream.
    std::string model;
    int output_tokens = 5;
    std::chrono::milliseconds deadline = 8000ms;
};

struct outcome
{
    /// 0 if no response began.
    int status = 0;
    /// Whether the response came to its end.
    bool complete = false;
    std::string body;
    bool has_retry_after = false;
    std::chrono::milliseconds took{0};
};

outcome call(const serve_case& it, const request_options& options)
{
    httplib::Client client(it.hosts.front()->ip, it.hosts.front()->port);
    client.set_read_timeout(10);
    outcome result;
    httplib::Request request;
    request.method = "POST";
    request.path = options.model.empty() ? "/book/1" : "/guide/1";
    request.headers = {{"Host", "desk.example"},
                       {"X-Request-Id", options.id},
                       {"X-Deadline-Ms", std::to_string(options.deadline.count())},
                       {"Authorization", "Bearer good-key"}};
    if (!options.model.empty())
    {
        request.headers.emplace("X-Model", options.model);
        request.headers.emplace("X-Token-Count", "10," + std::to_string(options.output_tokens));
    }
    request.body = "a body";
    request.response_handler = [&](const httplib::Response& response)
    {
        result.status = response.status;
        result.has_retry_after = response.has_header("Retry-After");
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t)
    {
        result.body.append(data, n);
        return true;
    };
    auto sent_at = std::chrono::steady_clock::now();
    result.complete = static_cast<bool>(client.send(request));
    result.took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - sent_at);
    return result;
}

/// Calls from a thread of its own.
std::future<outcome> call_async(const serve_case& it, request_options options)
{
    return std::async(std::launch::async,
                      [&it, options = std::move(options)] { return call(it, options); });
}

/// Sets the streams of both engines, one event a token.
void set_streams(serve_case& it, int events, std::chrono::milliseconds pause)
{
    for (auto* engine : {&it.engine1, &it.engine2})
    {
        engine->events_in_stream = events;
        engine->event_pause_ms = static_cast<int>(pause.count());
    }
}

std::size_t engine_runs(const serve_case& it, const std::string& id)
{
    return serve_case::runs(it.engine1, id) + serve_case::runs(it.engine2, id);
}

/// Some runs at a model, from which its pace can be known.
void run_some(serve_case& it, int events, std::chrono::milliseconds pause)
{
    set_streams(it, events, pause);
    for (int n = 0; n < 4; ++n)
    {
        auto before = call(
            it, {.id = "before" + std::to_string(n), .model = "busy", .output_tokens = events});
        REQUIRE(before.status == 200);
        REQUIRE(before.complete);
    }
}

void check_refused_at_once(const outcome& response)
{
    INFO("it took " << response.took.count() << " ms, the response "
                    << (response.complete ? "is complete" : "was cut") << ": " << response.body);
    CHECK(response.status == 503);
    CHECK(response.complete);
    CHECK(response.has_retry_after);
    CHECK(response.body.find("\"not_run\"") != std::string::npos);
    CHECK(response.took < at_once);
}

} // namespace

TEST_CASE("A stopping host refuses at once a stream that cannot end in its grace period")
{
    serve_case it;
    backend_stand_in engine3("e3", {"other"});
    engine3.events_in_stream = 200;
    engine3.event_pause_ms = 20;
    it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
    REQUIRE(it.started);
    // A pace of 20 ms a token.
    run_some(it, 10, 20ms);
    it.host().request_stop();

    SECTION("1 s later two callers send streams of 4 s; 3 s of the grace period remain")
    {
        std::this_thread::sleep_for(1000ms);
        set_streams(it, 200, 20ms);
        auto known = call_async(it, {.id = "known", .model = "busy", .output_tokens = 200});
        auto unknown = call_async(it, {.id = "unknown", .model = "other", .output_tokens = 200});

        // By its output tokens and the pace of recent runs at its model.
        check_refused_at_once(known.get());
        CHECK(engine_runs(it, "known") == 0);

        // By its deadline, as nothing is known of its model.
        check_refused_at_once(unknown.get());
        CHECK(serve_case::runs(engine3, "unknown") == 0);
    }
}

TEST_CASE("A stopping host serves a stream that can end in its grace period, as late as it can")
{
    serve_case it;
    // Nothing is known of its model.
    backend_stand_in engine3("e3", {"other"});
    it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
    REQUIRE(it.started);
    run_some(it, 10, 20ms);
    // Keeps the host up for most of its grace period.
    it.desk1.run_ms = 3500;
    it.desk2.run_ms = 3500;
    auto booking = call_async(it, {.id = "booking", .model = {}});
    std::this_thread::sleep_for(200ms);
    auto stop_begin = std::chrono::steady_clock::now();
    it.host().request_stop();

    // 1 s, of which 3.5 s remain; then 0.2 s, of which 1 s remains.
    std::this_thread::sleep_until(stop_begin + 500ms);
    set_streams(it, 50, 20ms);
    auto early = call_async(it, {.id = "early", .model = "busy", .output_tokens = 50});
    auto unknown = call_async(it, {.id = "unknown", .model = "other", .deadline = 1000ms});
    std::this_thread::sleep_until(stop_begin + stop_grace - 1000ms);
    set_streams(it, 10, 20ms);
    auto late = call(it, {.id = "late", .model = "busy", .output_tokens = 10, .deadline = 500ms});
    auto unsure = call(it, {.id = "unsure", .model = "busy", .output_tokens = 10});

    SECTION("a stream that takes a third of what remains, and near the end a short one")
    {
        auto response = early.get();
        CHECK(response.status == 200);
        CHECK(response.complete);
        CHECK(late.status == 200);
        CHECK(late.complete);
        CHECK(late.body.find("token10\n") != std::string::npos);

        // One that probably ends in time, and may run until after the end by its own deadline.
        check_refused_at_once(unsure);
        CHECK(engine_runs(it, "unsure") == 0);

        // Of a model of which nothing is known, one whose deadline lies before the end.
        auto short_deadline = unknown.get();
        CHECK(short_deadline.status == 200);
        CHECK(short_deadline.complete);

        // The request that was running before.
        CHECK(booking.get().status == 200);
        REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
    }
}

TEST_CASE("A stopping host refuses in time a request that waits for a model")
{
    serve_case it;
    REQUIRE(it.started);
    auto waiting = call_async(it, {.id = "waits", .model = "awaited", .output_tokens = 200});
    std::this_thread::sleep_for(300ms);
    auto stop_begin = std::chrono::steady_clock::now();
    it.host().request_stop();

    SECTION("no server ever holds it")
    {
        auto response = waiting.get();
        CHECK(response.status == 503);
        CHECK(response.complete);
        CHECK(response.has_retry_after);
        CHECK(std::chrono::steady_clock::now() - stop_begin < stop_grace);
    }
}

TEST_CASE("A stopping host sends no request that waited and cannot end any more")
{
    serve_case it;
    backend_stand_in engine3("e3", {"awaited"});
    engine3.events_in_stream = 200;
    engine3.event_pause_ms = 20;
    REQUIRE(it.started);
    auto waiting = call_async(it, {.id = "waits", .model = "awaited", .output_tokens = 200});
    std::this_thread::sleep_for(300ms);
    auto stop_begin = std::chrono::steady_clock::now();
    it.host().request_stop();

    SECTION("a server holds the model 1.5 s after the stop began, and runs 4 s")
    {
        std::this_thread::sleep_until(stop_begin + 1500ms);
        it.store.put("keyed.servers", "e3", engine3.registry_entry("models"));
        auto response = waiting.get();
        INFO("it took " << response.took.count() << " ms");
        CHECK(response.status == 503);
        CHECK(response.complete);
        CHECK(response.has_retry_after);
        CHECK(serve_case::runs(engine3, "waits") == 0);
        CHECK(std::chrono::steady_clock::now() - stop_begin < stop_grace);
    }
}

TEST_CASE("A request that runs at the end of the grace period without an answer is told so")
{
    serve_case it;
    REQUIRE(it.started);
    it.desk1.run_ms = 4300;
    it.desk2.run_ms = 4300;
    auto booking = call_async(it, {.id = "booking", .model = {}});
    REQUIRE(serve_case::eventually(
        [&] { return it.runs(it.desk1, "booking") + it.runs(it.desk2, "booking") == 1; }));
    auto stop_begin = std::chrono::steady_clock::now();
    it.host().request_stop();

    SECTION("it gets a response that says that it may have run, before the host exits")
    {
        auto response = booking.get();
        INFO("it took " << response.took.count() << " ms, the connection was "
                        << (response.complete ? "answered" : "closed"));
        CHECK((response.status == 502 || response.status == 503));
        CHECK(response.complete);
        CHECK(response.body.find("may_have_run") != std::string::npos);
        CHECK(std::chrono::steady_clock::now() - stop_begin < stop_grace);
        REQUIRE(serve_case::eventually([&] { return it.exit_code() == 0; }));
    }
}

TEST_CASE("A stopping host cuts no stream that came late, whatever its server does (LOST)")
{
    serve_case it;
    REQUIRE(it.started);
    // Callers state the same limit for short and long streams; these were short.
    set_streams(it, 10, 20ms);
    for (int n = 0; n < 10; ++n)
    {
        auto before =
            call(it, {.id = "before" + std::to_string(n), .model = "busy", .output_tokens = 100});
        REQUIRE(before.complete);
    }
    // Keeps the host up for most of its grace period.
    it.desk1.run_ms = 3500;
    it.desk2.run_ms = 3500;
    auto booking = call_async(it, {.id = "booking", .model = {}});
    std::this_thread::sleep_for(200ms);
    auto stop_begin = std::chrono::steady_clock::now();
    it.host().request_stop();
    // 0.8 s remain of the grace period less its margin; recent runs took 0.2 s.
    std::this_thread::sleep_until(stop_begin + 2800ms);

    auto check_not_cut = [&](const outcome& response)
    {
        if (response.status == 200)
        {
            CHECK(response.complete);
        }
        else
        {
            check_refused_at_once(response);
            CHECK(engine_runs(it, "late") == 0);
        }
    };
    SECTION("the stream is longer than all recent ones")
    {
        set_streams(it, 100, 20ms);
        check_not_cut(call(it, {.id = "late", .model = "busy", .output_tokens = 100}));
    }
    // Before the first event, between events, and before the last.
    for (auto wait : {0ms, 60ms, 190ms})
    {
        SECTION("its server falls silent for a second after " + std::to_string(wait.count()) +
                " ms, and goes on")
        {
            auto late = call_async(it, {.id = "late", .model = "busy", .output_tokens = 100});
            std::this_thread::sleep_for(wait);
            it.engine1.fall_silent(1000ms);
            it.engine2.fall_silent(1000ms);
            check_not_cut(late.get());
        }
    }
    CHECK(booking.get().complete);
}

TEST_CASE("A connection from before a stop is closed after its response, once the balancer knows")
{
    serve_case it;
    set_streams(it, 150, 20ms);
    REQUIRE(it.started);
    asio::io_context loop;
    tcp::endpoint host(asio::ip::make_address_v4(it.hosts.front()->ip),
                       static_cast<std::uint16_t>(it.hosts.front()->port));
    tcp::socket caller(loop);
    caller.connect(host);
    std::string request = "POST /guide/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: long\r\n"
                          "X-Deadline-Ms: 8000\r\nAuthorization: Bearer good-key\r\n"
                          "X-Model: busy\r\nContent-Length: 0\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    REQUIRE(serve_case::eventually([&] { return engine_runs(it, "long") == 1; }));
    std::this_thread::sleep_for(100ms);
    // Keeps the host up for longer than the stream.
    it.desk1.run_ms = 3400;
    it.desk2.run_ms = 3400;
    auto booking = call_async(it, {.id = "booking", .model = {}});
    std::this_thread::sleep_for(100ms);
    it.host().request_stop();

    SECTION("the response ends 2.8 s or more later, and its caller is not left to ask again here")
    {
        std::string response;
        auto n = asio::read_until(caller, asio::dynamic_buffer(response), "\r\n0\r\n\r\n");
        auto ended_at = std::chrono::steady_clock::now();
        CHECK(response.find("token150\n") != std::string::npos);
        CHECK(response.find("Connection: close") == std::string::npos);
        boost::system::error_code ec;
        char byte = 0;
        CHECK(caller.read_some(asio::buffer(&byte, 1), ec) == 0);
        CHECK(n == response.size());
        CHECK(ec == asio::error::eof);
        CHECK(std::chrono::steady_clock::now() - ended_at < 150ms);
        CHECK(booking.get().complete);
    }
    SECTION("a new connection stays open for its request, which is answered")
    {
        std::this_thread::sleep_for(2700ms);
        tcp::socket late(loop);
        late.connect(host);
        std::this_thread::sleep_for(100ms);
        std::string refused = request;
        refused.replace(refused.find("long"), 4, "late");
        asio::write(late, asio::buffer(refused));
        std::string response;
        boost::system::error_code ec;
        asio::read(late, asio::dynamic_buffer(response), ec);
        CHECK(response.starts_with("HTTP/1.1 503"));
        CHECK(booking.get().complete);
    }
}
