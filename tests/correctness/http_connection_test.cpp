// The kept connection to the log service, with a server that writes more than one response.

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "stand_ins/raw_server.hpp"
#include "transport/loop/http_connection.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// The bodies of calls made one after the other on one `http_connection`; "-" for none.
std::vector<std::string> bodies_of_calls(const raw_server& server, int calls)
{
    asio::io_context loop;
    std::vector<std::string> bodies;
    auto run = [&]() -> task<void>
    {
        http_connection connection{endpoint_text(server.address())};
        for (int n = 0; n < calls; ++n)
        {
            auto response = co_await connection.call("GET", "/", "", 500ms);
            bodies.push_back(response ? response->body : "-");
            co_await pause(30ms);
        }
    };
    asio::co_spawn(loop, run(), asio::detached);
    loop.run();
    return bodies;
}

} // namespace

TEST_CASE("A second response to a call is not taken for the response to the next call")
{
    auto answers = [](int connection, int request)
    { return http_text(200, std::to_string(connection) + "/" + std::to_string(request)); };

    SECTION("received with the first")
    {
        raw_server server(
            [&](int connection, int n, const std::string&) {
                return raw_response{.bytes = answers(connection, n) + answers(connection, 100 + n)};
            });
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"1/1", "2/1", "3/1"});
    }
    SECTION("received before the next call")
    {
        raw_server server(
            [&](int connection, int n, const std::string&)
            {
                return raw_response{.bytes = answers(connection, n),
                                    .later = answers(connection, 100 + n),
                                    .later_after = 5ms};
            });
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"1/1", "2/1", "3/1"});
    }
    SECTION("behind an interim response, which is no response to the call")
    {
        raw_server server(
            [&](int connection, int n, const std::string&) {
                return raw_response{.bytes = "HTTP/1.1 103 Early Hints\r\n\r\n" +
                                             answers(connection, n)};
            });
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"1/1", "1/2", "1/3"});
    }
    SECTION("a connection without such responses is kept")
    {
        raw_server server([&](int connection, int n, const std::string&)
                          { return raw_response{.bytes = answers(connection, n)}; });
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"1/1", "1/2", "1/3"});
    }
}

TEST_CASE("A response to a call that states no length ends with its connection")
{
    const std::string head = "HTTP/1.1 200 Text\r\n\r\n";

    SECTION("closed, it is whole, and the next call has a connection of its own")
    {
        raw_server server(
            [&](int connection, int, const std::string&)
            { return raw_response{.bytes = head + std::to_string(connection), .close = true}; });
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"1", "2", "3"});
    }
    SECTION("reset, it is none")
    {
        raw_server server([&](int, int, const std::string&)
                          { return raw_response{.bytes = head + "part", .reset = true}; });
        CHECK(bodies_of_calls(server, 2) == std::vector<std::string>{"-", "-"});
    }
    SECTION("left open, it is none")
    {
        raw_server server([&](int, int, const std::string&)
                          { return raw_response{.bytes = head + "part"}; });
        CHECK(bodies_of_calls(server, 1) == std::vector<std::string>{"-"});
    }
}

TEST_CASE("A response to a call whose head breaks off is none")
{
    const std::string whole = http_text(200, "body", "X-Field: value\r\n");
    const auto head = whole.size() - 4;
    for (std::size_t size = 1; size < head; ++size)
    {
        INFO(size);
        raw_server server(
            [&](int, int n, const std::string&)
            {
                bool breaks = n == 2;
                return raw_response{.bytes = breaks ? whole.substr(0, size) : whole,
                                    .close = breaks};
            });
        // On a new connection, and on one that has carried a response.
        CHECK(bodies_of_calls(server, 3) == std::vector<std::string>{"body", "-", "body"});
    }
}
