/// \file
/// The HTTP client sends each call at most once, and says "not run" only when nothing was sent. The
/// server counts what arrived.

#include <catch2/catch.hpp>

#include "stand_ins/raw_server.hpp"
#include "state/errors.hpp"
#include "transport/backend_clients.hpp"

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
            .read_timeout = milliseconds(200)};
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

    SECTION("nothing listens: the call surely did not run")
    {
        std::string address;
        {
            raw_server gone([](int, int, const std::string&) { return raw_response{}; });
            address = gone.address();
        }
        auto answer = http.send(post_to(address));
        REQUIRE(!answer);
        CHECK(answer.error().run == run_state::not_run);
    }
    SECTION("the server closes a kept connection between two calls: the next one is made anew")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(200, "{}"), .close = true}; });
        REQUIRE(http.send(post_to(server.address())));
        std::this_thread::sleep_for(milliseconds(50));
        REQUIRE(http.send(post_to(server.address())));
        CHECK(server.requests() == 2);
    }
    SECTION("the server reads a call on a kept connection and closes: it is not sent again")
    {
        raw_server server(
            [](int connection, int request, const std::string&)
            {
                bool dies = connection == 1 && request == 2;
                return raw_response{.bytes = dies ? "" : http_text(200, "{}"), .close = dies};
            });
        REQUIRE(http.send(post_to(server.address())));
        auto answer = http.send(post_to(server.address()));
        REQUIRE(!answer);
        CHECK(answer.error().run == run_state::may_have_run);
        CHECK(server.requests() == 2);
        CHECK(server.connections() == 1);
    }
    SECTION("a redirect is the server's answer, and is not followed")
    {
        raw_server server(
            [](int, int, const std::string&)
            { return raw_response{.bytes = http_text(307, "", "Location: /elsewhere\r\n")}; });
        auto answer = http.send(post_to(server.address()));
        REQUIRE(answer);
        CHECK(answer->status == 307);
        CHECK(server.requests() == 1);
    }
    SECTION("an answer that is cut may have run, and is not asked for again")
    {
        raw_server server(
            [](int, int, const std::string&)
            {
                return raw_response{.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}",
                                    .close = true};
            });
        auto answer = http.send(post_to(server.address()));
        REQUIRE(!answer);
        CHECK(answer.error().run == run_state::may_have_run);
        CHECK(server.requests() == 1);
    }
    SECTION("a kept connection goes silent: the call may have run, and the next has a new one")
    {
        raw_server server(
            [](int connection, int request, const std::string&)
            {
                bool silent = connection == 1 && request == 2;
                return raw_response{.bytes = silent ? "" : http_text(200, "{}")};
            });
        REQUIRE(http.send(post_to(server.address())));
        auto answer = http.send(post_to(server.address()));
        REQUIRE(!answer);
        CHECK(answer.error().run == run_state::may_have_run);
        CHECK(http.send(post_to(server.address())));
        CHECK(server.requests() == 3);
        CHECK(server.connections() == 2);
    }
    SECTION("a call that may not be repeated has a connection of its own")
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
    SECTION("a service's 503 is its own answer, not a refusal of ours")
    {
        raw_server server([](int, int, const std::string&)
                          { return raw_response{.bytes = http_text(503, "{\"later\":true}")}; });
        http_plain_service service(http);
        auto answer = service.call(server.address(), order_call(), milliseconds(1000));
        REQUIRE(answer);
        CHECK(answer->status == 503);
        CHECK(answer->body == "{\"later\":true}");
    }
}

TEST_CASE("an engine's stream is taken only whole and in order")
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

    SECTION("whole and in order, it is passed on")
    {
        CHECK(run({a, b, end2}));
        CHECK(tokens == "ab");
    }
    SECTION("a repeated event is passed on once")
    {
        CHECK(run({a, a, b, a, end2, end2}));
        CHECK(tokens == "ab");
    }
    SECTION("another request's event is left out")
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
    SECTION("an end that counts other tokens than came is a failure")
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
    SECTION("a refusal before the run is told from an error in it")
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
