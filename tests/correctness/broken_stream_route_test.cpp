// A stream that breaks after its route has changed.

#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"
#include "transport/loop/event_loop.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds registry_time{1500};
/// After the first events, and before the stream breaks.
constexpr std::chrono::milliseconds change_at{300};
constexpr milliseconds break_at{1800};

std::string chunk(const std::string& bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string head_for(const std::string& request, const std::string& type)
{
    auto from = request.find("X-Request-Id");
    auto id = request.substr(from, request.find("\r\n", from) + 2 - from);
    return "HTTP/1.1 200 OK\r\n" + id + "X-Server-Stamp: s\r\nContent-Type: " + type +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string call_until_closed(const serve_case& it, const std::string& request)
{
    const auto& host = *it.hosts.front();
    asio::io_context loop;
    tcp::socket caller(loop);
    caller.connect({asio::ip::make_address_v4(host.ip), static_cast<std::uint16_t>(host.port)});
    asio::write(caller, asio::buffer(request));
    std::string bytes;
    boost::system::error_code ec;
    asio::read(caller, asio::dynamic_buffer(bytes), ec);
    return bytes;
}

} // namespace

TEST_CASE("A broken stream is not joined with an answer of the kind that its route has by then")
{
    serve_case it;
    REQUIRE(it.started);
    std::atomic<int> asked = 0;
    auto script = [&](int, int, const std::string& text)
    {
        if (text.find(" /guide/") == std::string::npos)
        {
            return raw_response{.bytes = http_text(404, "")};
        }
        if (++asked == 1)
        {
            return raw_response{.bytes = head_for(text, "text/event-stream") +
                                         chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                                .close = true,
                                .later = chunk("id: 3\nda"),
                                .later_after = break_at};
        }
        return raw_response{.bytes = head_for(text, "application/json") + chunk("{\"error\":1}") +
                                     "0\r\n\r\n",
                            .close = true};
    };
    raw_server first(script);
    raw_server second(script);
    auto manifest = nlohmann::json::parse(serve_manifest(2, {"good-key"}, 1));
    it.store.put("keyed.op", "config", manifest.dump());
    for (const auto* server : {&first, &second})
    {
        auto entry = nlohmann::json::parse(it.engine1.registry_entry("models"));
        entry["address"] = server->address();
        entry["models"][0]["name"] = "m0";
        it.store.put("keyed.servers", server == &first ? "e3" : "e4", entry.dump());
    }
    std::this_thread::sleep_for(registry_time);
    // Requests that end well earn the budget of a repeat.
    for (int n = 0; n < 20; ++n)
    {
        it.stream("before-" + std::to_string(n), "busy");
    }
    std::thread change(
        [&]
        {
            std::this_thread::sleep_for(change_at);
            manifest["version"] = 3;
            for (auto& route : manifest["routes"])
            {
                if (route["path_prefix"] == "/guide/")
                {
                    route["kind"] = "idempotent";
                }
            }
            it.store.put("keyed.op", "config", manifest.dump());
        });
    auto bytes = call_until_closed(
        it, "POST /guide/1 HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
            "X-Request-Id: changed\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer good-key\r\n"
            "X-Token-Count: 10,5\r\nX-Model: m0\r\nContent-Length: 1\r\n\r\nx");
    change.join();

    SECTION("it is cut after the events that its caller has")
    {
        CHECK(asked == 2);
        CHECK(bytes.find("data: b") != std::string::npos);
        CHECK(bytes.find("HTTP/1.1", 5) == std::string::npos);
        CHECK(bytes.find("error") == std::string::npos);
        CHECK(bytes.find("\r\n0\r\n\r\n") == std::string::npos);
    }
}
