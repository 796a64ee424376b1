// Servers that stop in the middle of a response's head and close the connection.

#include <atomic>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "stream_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// The bytes in the head of a response as `engine_pair` gives it for a model of the table.
std::size_t head_size(const response_text& it)
{
    auto text = it.bytes("X-Request-Id: of-m0\r\n", "stamp1");
    return text.find("\r\n\r\n") + 4;
}

/// Sizes of heads that break off: some of each line, and all but the last byte.
std::vector<std::size_t> broken_sizes(std::size_t head)
{
    constexpr std::size_t step = 11;
    std::vector<std::size_t> sizes;
    for (std::size_t n = 1; n < head - 1; n += step)
    {
        sizes.push_back(n);
    }
    sizes.push_back(head - 1);
    return sizes;
}

} // namespace

TEST_CASE("A stream whose head breaks off begins at another engine")
{
    for (auto frame : framings)
    {
        response_text whole{.body = events(1, 5), .frame = frame};
        auto sizes = broken_sizes(head_size(whole));
        stream_case it(static_cast<int>(sizes.size()));
        std::vector<engine_pair*> engines;
        for (auto size : sizes)
        {
            auto broken = whole;
            broken.max_bytes = size;
            engines.push_back(&it.add({broken, whole}));
        }
        it.await_engines();
        for (std::size_t n = 0; n < sizes.size(); ++n)
        {
            INFO(to_text(frame) << ", " << sizes[n] << " bytes");
            it.earn_repeats();
            auto response = it.ask(*engines[n]);
            CHECK(response.status() == "HTTP/1.1 200");
            CHECK(response.body == events(1, 5));
            CHECK(response.ended);
            CHECK(engines[n]->requests().size() == 2);
        }
    }
}

TEST_CASE("A broken stream whose next head breaks off does not end as complete")
{
    response_text rest{.body = events(3, 5)};
    auto sizes = broken_sizes(head_size(rest));
    stream_case it(static_cast<int>(sizes.size()));
    std::vector<engine_pair*> engines;
    for (auto size : sizes)
    {
        auto broken = rest;
        broken.max_bytes = size;
        engines.push_back(&it.add({broken_after_two(), broken}));
    }
    it.await_engines();
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        INFO(sizes[n] << " bytes");
        it.earn_repeats();
        auto response = it.ask(*engines[n]);
        CHECK(response.body == events(1, 2));
        CHECK_FALSE(response.ended);
    }
}

TEST_CASE("The head of a later response on a kept connection breaks off")
{
    serve_case it;
    REQUIRE(it.started);
    const std::string body = "a body of some length";
    std::atomic<std::size_t> size = std::string::npos;
    raw_server server(
        [&](int, int, const std::string& text)
        {
            auto from = text.find("X-Request-Id");
            auto id = text.substr(from, text.find("\r\n", from) + 2 - from);
            auto whole = http_text(200, body, id + "X-Server-Stamp: d1\r\n");
            std::size_t max = size;
            return raw_response{.bytes = whole.substr(0, max), .close = max < whole.size()};
        });
    auto entry = nlohmann::json::parse(it.desk1.registry_entry("desk"));
    entry["address"] = server.address();
    entry["sequence"] = 2;
    it.store.put("keyed.servers", "d1", entry.dump());
    it.store.put("keyed.servers", "d2", "");
    REQUIRE(serve_case::eventually(
        [&] {
            return it.send("GET", "/read/1", "first", "good-key").status == 200 &&
                   server.requests() > 0;
        }));
    auto head =
        http_text(200, body, "X-Request-Id: r100\r\nX-Server-Stamp: d1\r\n").size() - body.size();
    int n = 100;
    for (const char* path : {"/read/1", "/book/1"})
    {
        const std::string method = path == std::string("/read/1") ? "GET" : "POST";
        for (auto broken : broken_sizes(head))
        {
            INFO(path << ", " << broken << " bytes");
            size = std::string::npos;
            // Past the pause that failures of the server bring.
            REQUIRE(serve_case::eventually(
                [&] {
                    return it.send(method, path, "r" + std::to_string(++n), "good-key").status ==
                           200;
                }));
            size = broken;
            auto result = it.send(method, path, "r" + std::to_string(++n), "good-key");
            // It may have run.
            CHECK(result.status == 502);
            CHECK(result.body.find(body) == std::string::npos);
        }
    }
}
