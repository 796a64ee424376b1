/// \file
/// The HTTP server under more connections than it has threads, and through a stop: each request is
/// answered, if only with a refusal.

#include <atomic>
#include <future>

#include <catch2/catch.hpp>

#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

using namespace banyanshunt;

namespace
{

http_call get_from(const std::string& address, const std::string& path)
{
    return {.address = address, .method = "GET", .path = path, .headers = {}, .body = {}};
}

http_response text_reply(const std::string& text)
{
    return {.headers = {}, .body = text, .stream = {}};
}

} // namespace

TEST_CASE("a server with two threads")
{
    http_server server({.threads = 2,
                        .idle_timeout = seconds(60),
                        .queue_timeout = milliseconds(50),
                        .overload_body = "{\"refused\":true}"});
    std::atomic<bool> go_on = false;
    std::atomic<int> busy = 0;
    std::atomic<bool> saw_caller_leave = false;
    server.handle("GET", "/quick", [](auto&) { return text_reply("done"); });
    server.handle("GET", "/slow",
                  [&](auto&)
                  {
                      ++busy;
                      while (!go_on)
                      {
                          std::this_thread::sleep_for(milliseconds(1));
                      }
                      return text_reply("done");
                  });
    server.handle("GET", "/watch",
                  [&](const http_request& request)
                  {
                      while (!request.caller_disconnected())
                      {
                          std::this_thread::sleep_for(milliseconds(1));
                      }
                      saw_caller_leave = true;
                      return text_reply("done");
                  });
    server.start();
    std::vector<std::future<verdict<http_call_response>>> slow;
    auto keep_busy = [&](int n)
    {
        for (int i = 0; i < n; ++i)
        {
            slow.push_back(
                std::async(std::launch::async, [&]
                           { return http_client().send(get_from(server.address(), "/slow")); }));
        }
        while (busy < n)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    };

    SECTION("tells a third connection that it cannot serve it")
    {
        keep_busy(2);
        auto answer = http_client().send(get_from(server.address(), "/quick"));
        REQUIRE(answer);
        CHECK(answer->status == 503);
        CHECK(answer->body == "{\"refused\":true}");
        go_on = true;
    }
    SECTION("ends idle connections for a third one")
    {
        http_client a;
        http_client b;
        REQUIRE(a.send(get_from(server.address(), "/quick")));
        REQUIRE(b.send(get_from(server.address(), "/quick")));
        for (int i = 0; i < 3; ++i)
        {
            http_client other;
            auto answer = other.send(get_from(server.address(), "/quick"));
            REQUIRE(answer);
            CHECK(answer->status == 200);
        }
    }
    SECTION("notices that a caller left")
    {
        auto call = get_from(server.address(), "/watch");
        call.read_timeout = milliseconds(50);
        CHECK(!http_client().send(call));
        while (!saw_caller_leave)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    SECTION("answers all that has begun before it stops")
    {
        keep_busy(2);
        auto stopped = std::async(std::launch::async, [&] { server.stop(); });
        std::this_thread::sleep_for(milliseconds(20));
        go_on = true;
        stopped.get();
        for (auto& it : slow)
        {
            auto answer = it.get();
            REQUIRE(answer);
            CHECK(answer->body == "done");
        }
    }
    SECTION("asks callers to close their connections while it drains")
    {
        server.drain();
        http_client client;
        auto answer = client.send(get_from(server.address(), "/quick"));
        REQUIRE(answer);
        bool asked = std::any_of(answer->headers.begin(), answer->headers.end(),
                                 [](const http_field& it)
                                 { return it.name == "Connection" && it.value == "close"; });
        CHECK(asked);
    }
}
