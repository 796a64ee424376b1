/// \file
/// Guards against requests without a response when the HTTP server has more connections than
/// threads, and during a stop. Each request gets a response, even if it is a refusal.

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
    return {.address = address,
            .method = "GET",
            .path = path,
            .headers = {},
            .body = {},
            .keeps_connection = true};
}

http_response text_response(const std::string& text)
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
    std::atomic<bool> may_finish = false;
    std::atomic<int> busy = 0;
    std::atomic<bool> saw_disconnect = false;
    server.handle("GET", "/quick", [](auto&) { return text_response("done"); });
    server.handle("GET", "/slow",
                  [&](auto&)
                  {
                      ++busy;
                      while (!may_finish)
                      {
                          std::this_thread::sleep_for(milliseconds(1));
                      }
                      return text_response("done");
                  });
    server.handle("GET", "/watch",
                  [&](const http_request& request)
                  {
                      while (!request.caller_disconnected())
                      {
                          std::this_thread::sleep_for(milliseconds(1));
                      }
                      saw_disconnect = true;
                      return text_response("done");
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

    SECTION("refuses a third connection while both threads are busy")
    {
        keep_busy(2);
        auto response = http_client().send(get_from(server.address(), "/quick"));
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->body == "{\"refused\":true}");
        may_finish = true;
    }
    SECTION("closes idle connections when a third one waits")
    {
        http_client a;
        http_client b;
        REQUIRE(a.send(get_from(server.address(), "/quick")));
        REQUIRE(b.send(get_from(server.address(), "/quick")));
        for (int i = 0; i < 3; ++i)
        {
            http_client other;
            auto response = other.send(get_from(server.address(), "/quick"));
            REQUIRE(response);
            CHECK(response->status == 200);
        }
    }
    SECTION("detects that a caller disconnected")
    {
        auto call = get_from(server.address(), "/watch");
        call.read_timeout = milliseconds(50);
        CHECK(!http_client().send(call));
        while (!saw_disconnect)
        {
            std::this_thread::sleep_for(milliseconds(1));
        }
    }
    SECTION("answers all requests in flight before it stops")
    {
        keep_busy(2);
        auto stopped = std::async(std::launch::async, [&] { server.stop(); });
        std::this_thread::sleep_for(milliseconds(20));
        may_finish = true;
        stopped.get();
        for (auto& it : slow)
        {
            auto response = it.get();
            REQUIRE(response);
            CHECK(response->body == "done");
        }
    }
    SECTION("asks callers to close their connections while it drains")
    {
        server.drain();
        http_client client;
        auto response = client.send(get_from(server.address(), "/quick"));
        REQUIRE(response);
        bool asks_to_close = std::any_of(
            response->headers.begin(), response->headers.end(),
            [](const http_field& it) { return it.name == "Connection" && it.value == "close"; });
        CHECK(asks_to_close);
    }
}
