// The kept connection to the log service, with a server that writes more than one response.

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

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

TEST_CASE("A response to a call with a status that none can have is none")
{
    for (const char* status : {"000", "099", "101", "600", "999"})
    {
        INFO(status);
        raw_server server(
            [&](int, int, const std::string&)
            {
                return raw_response{.bytes = fmt::format("HTTP/1.1 {} Odd\r\nContent-Length: 0"
                                                         "\r\n\r\n{}",
                                                         status, http_text(200, "behind"))};
            });
        CHECK(bodies_of_calls(server, 2) == std::vector<std::string>{"-", "-"});
        CHECK(server.connections() == 2);
    }
}

TEST_CASE("Bytes without end from the store are not read on, and its call gets no response")
{
    const std::string filler(65536, 'x');
    /// Mostly socket buffers, and the largest body that is accepted.
    constexpr std::size_t max_endless_bytes = std::size_t{24} << 20;
    auto check = [&](const raw_response& faulty)
    {
        raw_server server([&](int, int, const std::string&) { return faulty; });
        CHECK(bodies_of_calls(server, 1) == std::vector<std::string>{"-"});
        std::this_thread::sleep_for(300ms);
        CHECK(server.endless_bytes() < max_endless_bytes);
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    SECTION("that are not HTTP")
    {
        check({.bytes = {}, .endless = filler});
    }
    SECTION("that are zeros")
    {
        check({.bytes = {}, .endless = std::string(65536, '\0')});
    }
    SECTION("that are empty lines")
    {
        std::string lines;
        for (int n = 0; n < 32768; ++n)
        {
            lines += "\r\n";
        }
        check({.bytes = {}, .endless = lines});
    }
    SECTION("as a field of the head")
    {
        check({.bytes = "HTTP/1.1 200 OK\r\nX-Filler: ", .endless = filler});
    }
    SECTION("as many fields of the head")
    {
        std::string fields;
        for (int n = 0; n < 8192; ++n)
        {
            fields += fmt::format("X-{}: 1\r\n", n);
        }
        check({.bytes = "HTTP/1.1 200 OK\r\n", .endless = fields});
    }
    SECTION("as interim responses")
    {
        check({.bytes = {}, .endless = "HTTP/1.1 103 Early Hints\r\n\r\n"});
    }
    SECTION("as a body that states no length")
    {
        check({.bytes = "HTTP/1.1 200 OK\r\n\r\n", .endless = filler});
    }
    SECTION("as chunks")
    {
        check({.bytes = chunked, .endless = fmt::format("{:x}\r\n{}\r\n", filler.size(), filler)});
    }
    SECTION("as the extension of a chunk")
    {
        check({.bytes = chunked + "5;", .endless = filler});
    }
    SECTION("as a trailer")
    {
        check({.bytes = chunked + "0\r\nX-Filler: ", .endless = filler});
    }
}
