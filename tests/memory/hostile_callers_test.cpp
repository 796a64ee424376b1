// Callers that send without end, hold connections open, or read nothing. None of this may end an
// entry host or take its memory and descriptors from other callers. One case runs at a time.

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "memory/bounded_host.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr int crowd = 8;
/// What each caller sends of a thing without end: all of them together send 128 MB, the host may
/// use 48.
constexpr std::size_t endless_bytes = 16UL << 20;
constexpr std::size_t block_bytes = 16384;

std::string chunked_head(const std::string& id)
{
    return fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\n"
                       "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       id);
}

/// Sends `beginning`, and then blocks until `endless_bytes` or the end of the connection.
void send_endlessly(const raw_caller& caller, const std::string& beginning,
                    const std::function<std::string(std::size_t)>& block)
{
    bool open = caller.send(beginning);
    for (std::size_t n = 0; open && n * block_bytes < endless_bytes; ++n)
    {
        open = caller.send(block(n));
    }
}

/// The crowd sends the same at once.
void send_from_crowd(const bounded_host& host, const std::string& beginning,
                     const std::function<std::string(std::size_t)>& block)
{
    std::vector<std::thread> threads;
    threads.reserve(crowd);
    for (int n = 0; n < crowd; ++n)
    {
        threads.emplace_back(
            [&]
            {
                auto caller = host.connect();
                send_endlessly(*caller, beginning, block);
                // A host that goes on to read holds what it has read until its caller leaves.
                std::this_thread::sleep_for(300ms);
            });
    }
    for (auto& it : threads)
    {
        it.join();
    }
}

std::string lines(std::size_t n)
{
    std::string text;
    while (text.size() < block_bytes)
    {
        text += fmt::format("X-F{}-{}: {}\r\n", n, text.size(), std::string(100, 'v'));
    }
    return text;
}

void check_sound(bounded_host& host)
{
    REQUIRE(host.lives());
    CHECK(host.peak_memory_mb() > 0);
    CHECK(host.peak_memory_mb() < host.limits.memory_mb);
    CHECK(host.descriptors() < static_cast<std::size_t>(host.limits.max_descriptors));
    CHECK(host.answers_a_request());
    CHECK(host.lives());
}

} // namespace

TEST_CASE("a host outlives what callers send without end")
{
    bounded_host host;
    REQUIRE(host.started());
    REQUIRE(host.answers_a_request());

    SECTION("trailers behind a chunked body")
    {
        send_from_crowd(host, chunked_head("t") + "1\r\nx\r\n0\r\n", lines);
        check_sound(host);
    }
    SECTION("one line of a trailer")
    {
        send_from_crowd(host, chunked_head("l") + "1\r\nx\r\n0\r\nX-F: ",
                        [](std::size_t) { return std::string(block_bytes, 'v'); });
        check_sound(host);
    }
    SECTION("an extension of a chunk")
    {
        send_from_crowd(host, chunked_head("e") + "1;a=",
                        [](std::size_t) { return std::string(block_bytes, 'v'); });
        check_sound(host);
    }
    SECTION("fields of a head")
    {
        send_from_crowd(host, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n", lines);
        check_sound(host);
    }
    SECTION("a request target")
    {
        send_from_crowd(host, "GET /read/",
                        [](std::size_t) { return std::string(block_bytes, 'v'); });
        check_sound(host);
    }
    SECTION("a body in chunks of one byte")
    {
        send_from_crowd(host, chunked_head("o"),
                        [](std::size_t)
                        {
                            std::string text;
                            while (text.size() < block_bytes)
                            {
                                text += "1\r\nx\r\n";
                            }
                            return text;
                        });
        check_sound(host);
    }
    SECTION("requests behind one that runs long")
    {
        host.desk.run_ms = 3000;
        send_from_crowd(
            host,
            "GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: p\r\n"
            "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n\r\n",
            [](std::size_t)
            { return "GET /read/2 HTTP/1.1\r\nX-F: " + std::string(4000, 'v') + "\r\n\r\n"; });
        host.desk.run_ms = 0;
        check_sound(host);
    }
}

TEST_CASE("a host outlives more bodies at once than its memory holds")
{
    bounded_host host;
    REQUIRE(host.started());
    REQUIRE(host.answers_a_request());
    // Each within the limit of the configuration; all together have 64 MB.
    constexpr int callers = 64;
    auto size = static_cast<std::size_t>(host.limits.body_bytes) - 1;
    std::vector<std::unique_ptr<raw_caller>> crowd_of_bodies;

    SECTION("with a length, and without their last byte")
    {
        for (int n = 0; n < callers; ++n)
        {
            crowd_of_bodies.push_back(host.connect());
            crowd_of_bodies.back()->send(
                fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: b{}\r\n"
                            "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n"
                            "Content-Length: {}\r\n\r\n{}",
                            n, size, std::string(size - 1, 'b')));
        }
        CHECK(host.descriptors() < static_cast<std::size_t>(host.limits.max_descriptors));
    }
    SECTION("in one chunk, and without its end")
    {
        for (int n = 0; n < callers; ++n)
        {
            crowd_of_bodies.push_back(host.connect());
            crowd_of_bodies.back()->send(chunked_head(fmt::format("c{}", n)) +
                                         fmt::format("{:x}\r\n", size) +
                                         std::string(size - 1, 'b'));
        }
        CHECK(host.descriptors() < static_cast<std::size_t>(host.limits.max_descriptors));
    }
    SECTION("whole, at a server that takes long")
    {
        host.desk.run_ms = 2000;
        for (int n = 0; n < callers; ++n)
        {
            crowd_of_bodies.push_back(host.connect());
            crowd_of_bodies.back()->send(
                fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: w{}\r\n"
                            "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n"
                            "Content-Length: {}\r\n\r\n{}",
                            n, size, std::string(size, 'b')));
        }
    }
    // Until the host has read what it reads of them.
    std::this_thread::sleep_for(1500ms);
    host.desk.run_ms = 0;
    crowd_of_bodies.clear();
    check_sound(host);
}

TEST_CASE("a body of the largest size is served while nothing else is")
{
    bounded_host host;
    REQUIRE(host.started());
    auto size = static_cast<std::size_t>(host.limits.body_bytes);
    CHECK(host.status_of(fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n"
                                     "X-Request-Id: s1\r\nAuthorization: Bearer key-1\r\n"
                                     "X-Deadline-Ms: 5000\r\nConnection: close\r\n"
                                     "Content-Length: {}\r\n\r\n{}",
                                     size, std::string(size, 'b'))) == 200);
    std::string in_small_chunks;
    for (int n = 0; n < 20000; ++n)
    {
        in_small_chunks += "1\r\nx\r\n";
    }
    CHECK(host.status_of(fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\n"
                                     "X-Request-Id: s2\r\nAuthorization: Bearer key-1\r\n"
                                     "X-Deadline-Ms: 5000\r\nConnection: close\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n{}0\r\nX-Sum: 5\r\n\r\n",
                                     in_small_chunks)) == 200);
    check_sound(host);
}

TEST_CASE("a host keeps descriptors for ordinary callers")
{
    bounded_host host;
    REQUIRE(host.started());
    constexpr int connections = 600;
    std::vector<std::unique_ptr<raw_caller>> held;

    SECTION("beside connections that send nothing")
    {
        for (int n = 0; n < connections; ++n)
        {
            held.push_back(host.connect());
        }
    }
    SECTION("beside connections that send the begin of a head")
    {
        for (int n = 0; n < connections; ++n)
        {
            held.push_back(host.connect());
            held.back()->send("GET /read/1 HTTP/1.1\r\nHost: desk");
        }
    }
    SECTION("beside connections that fill their buffers")
    {
        for (int n = 0; n < connections; ++n)
        {
            held.push_back(host.connect());
            held.back()->send(chunked_head(fmt::format("f{}", n)) +
                              "1\r\nx\r\n0\r\nX-F: " + std::string(20000, 'v'));
        }
    }
    SECTION("beside connections that are opened and closed at once")
    {
        for (int n = 0; n < connections; ++n)
        {
            host.connect();
        }
    }
    check_sound(host);
}

TEST_CASE("callers that read nothing of long answers cost the host no more than their share")
{
    bounded_host host;
    REQUIRE(host.started());
    host.desk.body_bytes = 12 << 20;
    std::vector<std::unique_ptr<raw_caller>> held;
    for (int n = 0; n < crowd; ++n)
    {
        held.push_back(host.connect());
        held.back()->send(
            fmt::format("GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r{}\r\n"
                        "Authorization: Bearer key-1\r\nX-Deadline-Ms: 8000\r\n\r\n",
                        n));
    }
    std::this_thread::sleep_for(1500ms);
    host.desk.body_bytes = 0;
    check_sound(host);
}

TEST_CASE("a caller that pauses while it reads a long answer gets all of it")
{
    bounded_host host;
    REQUIRE(host.started());
    constexpr int size = 12 << 20;
    host.desk.body_bytes = size;
    auto caller = host.connect();
    caller->send("GET /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: p1\r\n"
                 "Authorization: Bearer key-1\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(4500ms);
    CHECK(caller->receive().size() > static_cast<std::size_t>(size));
}

TEST_CASE("a new configuration's limits apply to connections that are open")
{
    bounded_host host;
    REQUIRE(host.started());
    auto caller = host.connect();
    std::this_thread::sleep_for(200ms);
    host.configure(2 * host.limits.body_bytes);
    REQUIRE(host.answers_a_request());
    std::this_thread::sleep_for(1500ms);
    auto size = static_cast<std::size_t>(host.limits.body_bytes) * 3 / 2;
    caller->send(fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: k1\r\n"
                             "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n"
                             "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                             size, std::string(size, 'b')));
    CHECK(caller->receive().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a host goes on when the reader of its log has gone")
{
    bounded_host host;
    REQUIRE(host.started());
    REQUIRE(host.answers_a_request());
    host.close_log();
    // Each request writes a line.
    for (int n = 0; n < 5; ++n)
    {
        CHECK(host.answers_a_request());
        std::this_thread::sleep_for(100ms);
    }
    CHECK(host.lives());
}
