// Servers that send bytes without end to many requests at once. None of this may take an entry host
// more memory than it has. One case runs at a time.

#include <chrono>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "memory/bounded_host.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr int crowd = 100;
constexpr std::size_t block_bytes = 65536;

/// Sends requests of a crowd of callers, all of which a faulty server gets, and then those of
/// ordinary callers to the sound one.
void check_outlives(const raw_response& faulty)
{
    bounded_host host;
    REQUIRE(host.started());
    raw_server server([&](int, int, const std::string&) { return faulty; });
    auto entry = nlohmann::json::parse(host.desk.registry_entry("desk"));
    entry["address"] = server.address();
    entry["sequence"] = 2;
    entry["slots"] = crowd;
    host.store.put("keyed.servers", "d1", entry.dump());
    std::this_thread::sleep_for(1500ms);
    std::vector<std::unique_ptr<raw_caller>> held;
    for (int n = 0; n < crowd; ++n)
    {
        held.push_back(host.connect());
        held.back()->send(
            fmt::format("POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: f{}\r\n"
                        "Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n"
                        "Content-Length: 0\r\n\r\n",
                        n));
    }
    std::this_thread::sleep_for(3s);
    CHECK(server.requests() > 0);
    REQUIRE(host.lives());
    CHECK(host.peak_memory_mb() < host.limits.memory_mb);
    held.clear();
    entry = nlohmann::json::parse(host.desk.registry_entry("desk"));
    entry["sequence"] = 3;
    host.store.put("keyed.servers", "d1", entry.dump());
    CHECK(host.answers_a_request());
}

} // namespace

TEST_CASE("a host outlives a server that sends many callers bytes without end")
{
    const std::string filler(block_bytes, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    SECTION("that are not HTTP")
    {
        check_outlives({.bytes = {}, .endless = filler});
    }
    SECTION("that are empty lines")
    {
        std::string lines;
        while (lines.size() < block_bytes)
        {
            lines += "\r\n";
        }
        check_outlives({.bytes = {}, .endless = lines});
    }
    SECTION("in a field of the head, slowly")
    {
        check_outlives({.bytes = "HTTP/1.1 200 OK\r\nX-Filler: ",
                        .endless = std::string(1024, 'x'),
                        .pause = 50ms});
    }
    SECTION("in many short fields of the head")
    {
        std::string fields;
        for (int n = 0; n < 6000; ++n)
        {
            fields += "a:\r\n";
        }
        // Just within the limit, and never complete.
        check_outlives({.bytes = "HTTP/1.1 200 OK\r\n" + fields.substr(0, 32000),
                        .endless = "b",
                        .pause = 200ms});
    }
    SECTION("in the extension of a chunk")
    {
        check_outlives({.bytes = chunked + "5;", .endless = filler});
    }
    SECTION("in a trailer")
    {
        check_outlives({.bytes = chunked + "0\r\nX-Filler: ", .endless = filler});
    }
    SECTION("in the body")
    {
        check_outlives(
            {.bytes = chunked, .endless = fmt::format("{:x}\r\n{}\r\n", filler.size(), filler)});
    }
    SECTION("as interim responses")
    {
        check_outlives({.bytes = {}, .endless = "HTTP/1.1 103 Early Hints\r\n\r\n"});
    }
}
