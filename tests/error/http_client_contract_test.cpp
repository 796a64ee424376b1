/// \file
/// Guards against a call that is sent twice, and against `not_run` for a call that may have been
/// sent: a repeat by the caller would then run it twice. The server counts the requests received.

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "stand_ins/raw_server.hpp"
#include "state/errors.hpp"
#include "transport/backend_clients.hpp"
#include "transport/platform_clients.hpp"

using namespace banyanshunt;

namespace
{

http_call post_to(const std::string& address)
{
    return {.address = address,
            .method = "POST",
            .path = "/work-orders",
            .headers = {},
            .body = "{}",
            .read_timeout = milliseconds(200),
            .keeps_connection = true};
}

service_call order_call()
{
    return {.id = request_id("r1"),
            .method = "POST",
            .path = "/work-orders",
            .headers = {},
            .body = "{}"};
}

} // namespace

TEST_CASE("a call reaches the server once, whatever becomes of its connection")
{
    http_client http;

    SECTION("nothing listens: the call did not run")
    {
        std::string address;
        {
            raw_server closed_server([](int, int, const std::string&) { return raw_response{}; });
            address = closed_server.address();
        }
        auto response = http.send(post_to(address));
        REQUIRE(!response);
        CHECK(response.error().run == run_state::not_run);
    }
    SECTION("the server closes an idle connection between two calls: the next call opens a new one")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, "{}"), .close = true}; });
        REQUIRE(http.send(post_to(server.address())));
        std::this_thread::sleep_for(milliseconds(50));
        REQUIRE(http.send(post_to(server.address())));
        CHECK(server.requests() == 2);
    }
    SECTION("the server reads a call on a reused connection and closes: it is not sent again")
    {
        raw_server server(
            [](int connection, int request, const std::string&)
            {
                bool closes = connection == 1 && request == 2;
                return raw_response{.bytes = closes ? "" : http_text(200, "{}"), .close = closes};
            });
        REQUIRE(http.send(post_to(server.address())));
        auto response = http.send(post_to(server.address()));
        REQUIRE(!response);
        CHECK(response.error().run == run_state::may_have_run);
        CHECK(server.requests() == 2);
        CHECK(server.connections() == 1);
    }
    SECTION("a redirect is returned as the response, and is not followed")
    {
        raw_server server(
            [](int, int, const std::string&)
            { return raw_response{.bytes = http_text(307, "", "Location: /elsewhere\r\n")}; });
        auto response = http.send(post_to(server.address()));
        REQUIRE(response);
        CHECK(response->status == 307);
        CHECK(server.requests() == 1);
    }
    SECTION("a call with a truncated response may have run, and is not sent again")
    {
        raw_server server(
            [](int, int, const std::string&)
            {
                return raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}",
                                    .close = true};
            });
        auto response = http.send(post_to(server.address()));
        REQUIRE(!response);
        CHECK(response.error().run == run_state::may_have_run);
        CHECK(server.requests() == 1);
    }
    SECTION(
        "a reused connection gets no response: the call may have run, and the next opens a new one")
    {
        raw_server server(
            [](int connection, int request, const std::string&)
            {
                bool unresponsive = connection == 1 && request == 2;
                return raw_response{.bytes = unresponsive ? "" : http_text(200, "{}")};
            });
        REQUIRE(http.send(post_to(server.address())));
        auto response = http.send(post_to(server.address()));
        REQUIRE(!response);
        CHECK(response.error().run == run_state::may_have_run);
        CHECK(http.send(post_to(server.address())));
        CHECK(server.requests() == 3);
        CHECK(server.connections() == 2);
    }
    SECTION("a call that does not keep its connection uses a new one, and closes it")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, "{}")}; });
        http_call call = post_to(server.address());
        REQUIRE(http.send(call));
        call.keeps_connection = false;
        for (int i = 2; i <= 4; ++i)
        {
            REQUIRE(http.send(call));
            CHECK(server.connections() == i);
        }
        call.keeps_connection = true;
        REQUIRE(http.send(call));
        CHECK(server.connections() == 4);
        CHECK(server.requests() == 5);
    }
    SECTION("a call that must not be repeated uses a dedicated connection")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, "{}")}; });
        http_plain_service service(http);
        for (int i = 1; i <= 3; ++i)
        {
            REQUIRE(service.call(server.address(), order_call(), milliseconds(1000)));
            CHECK(server.connections() == i);
        }
        CHECK(server.requests() == 3);
    }
    SECTION("a service's 503 is passed on as its response, not as a refusal by this process")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(503, "{\"later\":true}")}; });
        http_plain_service service(http);
        auto response = service.call(server.address(), order_call(), milliseconds(1000));
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->body == "{\"later\":true}");
    }
}

TEST_CASE("an engine's stream is accepted only if it is complete and in order")
{
    http_client http;
    http_model_engine engine(http);
    std::string tokens;
    token_sink sink = [&tokens](const stream_token& token)
    {
        tokens += token.text;
        return true;
    };
    completion_request request{
        .id = request_id("r1"), .model = model_id("m"), .adapter = {}, .prompt = "p"};

    auto events = [](const std::vector<std::string>& data)
    {
        std::string text;
        for (const auto& it : data)
        {
            text += "data: " + it + "\n\n";
        }
        return text;
    };
    std::string a = R"({"id":"r1","position":0,"text":"a"})";
    std::string b = R"({"id":"r1","position":1,"text":"b"})";
    std::string end2 =
        R"({"id":"r1","position":2,"end":{"prompt_tokens":1,"answer_tokens":2,"finish_reason":"stop"}})";
    auto run = [&](const std::vector<std::string>& data)
    {
        raw_server server([&](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, events(data))}; });
        return engine.complete(server.address(), request, milliseconds(200), sink);
    };

    SECTION("a complete stream in order is passed on")
    {
        CHECK(run({a, b, end2}));
        CHECK(tokens == "ab");
    }
    SECTION("a repeated event is passed on once")
    {
        CHECK(run({a, a, b, a, end2, end2}));
        CHECK(tokens == "ab");
    }
    SECTION("an event of another request is ignored")
    {
        CHECK(run({a, R"({"id":"r2","position":1,"text":"x"})", b, end2}));
        CHECK(tokens == "ab");
    }
    SECTION("a gap is a failure")
    {
        auto end = run({b, end2});
        REQUIRE(!end);
        CHECK(end.error().run == run_state::may_have_run);
        CHECK(tokens.empty());
    }
    SECTION("an end whose token count differs from the tokens received is a failure")
    {
        auto end = run(
            {a, b,
             R"({"id":"r1","position":2,"end":{"prompt_tokens":1,"answer_tokens":3,"finish_reason":"stop"}})"});
        REQUIRE(!end);
        CHECK(end.error().code == errc::bad_answer);
    }
    SECTION("a stream that ends early is a failure")
    {
        auto end = run({a, b});
        REQUIRE(!end);
        CHECK(end.error().run == run_state::may_have_run);
    }
    SECTION("a refusal before the run is distinguished from an error during it")
    {
        for (auto [status, expected] :
             {std::pair(503, run_state::not_run), std::pair(429, run_state::not_run),
              std::pair(408, run_state::may_have_run), std::pair(500, run_state::may_have_run),
              std::pair(307, run_state::may_have_run)})
        {
            raw_server server([status = status](int, int, const std::string&)
                              { return raw_response{.bytes = http_text(status, "{}")}; });
            auto end = engine.complete(server.address(), request, milliseconds(200), sink);
            REQUIRE(!end);
            CHECK(end.error().run == expected);
        }
    }
}

TEST_CASE("a response with a status that none can have is no answer to a call")
{
    http_client http;
    http_plain_service service(http);
    http_model_engine engine(http);
    for (const char* status : {"000", "099", "101", "600", "703", "999"})
    {
        INFO(status);
        raw_server server(
            [&](int, int, const std::string&)
            {
                return raw_response{
                    .bytes =
                        fmt::format("HTTP/1.1 {} Odd\r\nContent-Length: 2\r\n\r\n{{}}", status)};
            });
        auto check = [](const auto& outcome)
        {
            REQUIRE(!outcome);
            CHECK(outcome.error().run == run_state::may_have_run);
            CHECK(outcome.error().code == errc::bad_answer);
        };
        check(service.call(server.address(), order_call(), milliseconds(500)));
        check(engine.complete(
            server.address(),
            {.id = request_id("r1"), .model = model_id("m"), .adapter = {}, .prompt = "p"},
            milliseconds(500), [](const stream_token&) { return true; }));
        check(engine.order(server.address(), {.model = model_id("m"),
                                              .version = version_id("v1"),
                                              .adapter = {},
                                              .memory = mebibytes(1),
                                              .fencing = fencing_number(1)}));
        check(engine.read_back(server.address()));
        check(http_log_service(http, server.address(), milliseconds(500))
                  .read(stream_name("a"), log_offset(0), 1, milliseconds(0)));
        CHECK(server.requests() == 5);
    }
}

TEST_CASE("an interim response precedes the answer to a call")
{
    http_client http;
    raw_server server(
        [](int, int, const std::string&)
        {
            return raw_response{.bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                                         "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                                         http_text(200, "answer")};
        });
    auto response = http.send(post_to(server.address()));
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "answer");
}

TEST_CASE("bytes without end are not read on, and the call fails as one that may have run")
{
    http_client http;
    const std::string filler(65536, 'x');
    /// The largest response that is read whole, and socket buffers.
    constexpr std::size_t max_endless_bytes = std::size_t{32} << 20;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto check = [&](const raw_response& faulty, const std::string& detail)
    {
        raw_server server([&](int, int, const std::string&) { return faulty; });
        auto call = post_to(server.address());
        call.read_timeout = milliseconds(1000);
        auto response = http.send(call);
        REQUIRE(!response);
        CHECK(response.error().run == run_state::may_have_run);
        CHECK_THAT(response.error().detail, Catch::Contains(detail));
        std::this_thread::sleep_for(milliseconds(300));
        CHECK(server.endless_bytes() < max_endless_bytes);
    };

    SECTION("in a body that states no length")
    {
        check({.bytes = "HTTP/1.1 200 OK\r\n\r\n", .endless = filler},
              "the body of the response exceeds 16777216 bytes");
    }
    SECTION("in a body that states a length")
    {
        check(
            {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", .endless = filler},
            "the body of the response exceeds 16777216 bytes");
    }
    SECTION("as chunks")
    {
        check({.bytes = chunked, .endless = fmt::format("{:x}\r\n{}\r\n", filler.size(), filler)},
              "the body of the response exceeds 16777216 bytes");
    }
    SECTION("as the extension of a chunk")
    {
        check({.bytes = chunked + "5;", .endless = filler}, "");
    }
    SECTION("as a trailer")
    {
        check({.bytes = chunked + "0\r\nX-Filler: ", .endless = filler}, "");
    }
    SECTION("as a field of the head")
    {
        check({.bytes = "HTTP/1.1 200 OK\r\nX-Filler: ", .endless = filler},
              "the head of the response exceeds 32768 bytes");
    }
    SECTION("as many fields of the head")
    {
        std::string fields;
        for (int n = 0; n < 8192; ++n)
        {
            fields += fmt::format("X-{}: 1\r\n", n);
        }
        check({.bytes = "HTTP/1.1 200 OK\r\n", .endless = fields},
              "the head of the response exceeds 32768 bytes");
    }
    SECTION("as interim responses")
    {
        check({.bytes = {}, .endless = "HTTP/1.1 103 Early Hints\r\n\r\n"},
              "more than 16 interim responses");
    }
    SECTION("that are not HTTP")
    {
        check({.bytes = {}, .endless = filler}, "");
    }
    SECTION("in the refusal of a stream")
    {
        raw_server server(
            [&](int, int, const std::string&)
            { return raw_response{.bytes = "HTTP/1.1 500 Error\r\n\r\n", .endless = filler}; });
        auto response =
            http.stream(post_to(server.address()), [](std::string_view) { return true; });
        REQUIRE(!response);
        CHECK(response.error().run == run_state::may_have_run);
        CHECK(server.endless_bytes() < max_endless_bytes);
    }
}
