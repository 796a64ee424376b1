// Responses of servers with neither a length nor chunks, which end with their connection.

#include <atomic>
#include <mutex>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "stream_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// More than a host keeps of a response before it passes it on.
constexpr std::size_t long_body = 200000;

/// One host and a plain server that gives each request a response of the test's.
struct plain_case : serve_case
{
    plain_case()
    {
        REQUIRE(started);
        auto entry = nlohmann::json::parse(desk1.registry_entry("desk"));
        entry["address"] = server.address();
        entry["sequence"] = 2;
        store.put("keyed.servers", "d1", entry.dump());
        store.put("keyed.servers", "d2", "");
        set({.body = "ok"});
        REQUIRE(eventually(
            [&] {
                return send("GET", "/read/1", "first", "good-key").status == 200 &&
                       server.requests() > 0;
            }));
    }

    struct ending
    {
        std::string body;
        bool reset = false;
        /// Neither closed nor reset.
        bool open = false;
    };
    void set(ending it)
    {
        std::lock_guard lock(mutex);
        next = std::move(it);
    }
    received_response ask(const std::string& method, const std::string& path,
                          const std::string& id) const
    {
        return parse_received(read_until_closed(
            hosts.front()->ip, hosts.front()->port,
            method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n" +
                "X-Request-Id: " + id +
                "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer good-key\r\n\r\n"));
    }

    std::mutex mutex;
    ending next;
    raw_server server{[this](int, int, const std::string& text)
                      {
                          std::lock_guard lock(mutex);
                          auto from = text.find("X-Request-Id");
                          auto id = text.substr(from, text.find("\r\n", from) + 2 - from);
                          return raw_response{.bytes = "HTTP/1.1 200 OK\r\n" + id +
                                                       "X-Server-Stamp: d1\r\n\r\n" + next.body,
                                              .close = !next.reset && !next.open,
                                              .reset = next.reset};
                      }};
};

} // namespace

TEST_CASE("A plain response without a length is whole if its connection is closed at its end")
{
    plain_case it;
    const std::string filler(long_body, 'x');
    int n = 0;
    for (const auto& [method, path] : {std::pair("GET", "/read/1"), std::pair("POST", "/book/1")})
    {
        for (const auto& body : {std::string("short"), std::string(), filler})
        {
            INFO(path << ", " << body.size() << " bytes");
            it.set({.body = body});
            auto response = it.ask(method, path, "r" + std::to_string(++n));
            CHECK(response.status() == "HTTP/1.1 200");
            CHECK((response.body == body));
            CHECK(response.ended);
        }
    }
}

TEST_CASE("A plain response without a length is not whole if its connection is reset")
{
    plain_case it;
    int n = 0;
    for (const auto& [method, path] : {std::pair("GET", "/read/1"), std::pair("POST", "/book/1")})
    {
        INFO(path);
        auto ask = [&it, &n, method = method, path = path]
        { return it.ask(method, path, "r" + std::to_string(++n)); };
        it.set({.body = "short", .reset = true});
        auto response = ask();
        CHECK(response.status() == "HTTP/1.1 502");
        it.set({.body = std::string(long_body, 'x'), .reset = true});
        response = ask();
        bool success = response.status() == "HTTP/1.1 200";
        CHECK_FALSE((success && response.ended));
        // The server's failures bring a pause.
        it.set({.body = "ok"});
        REQUIRE(serve_case::eventually([&] { return ask().ended; }));
    }
}

TEST_CASE("A plain response without a length whose connection stays open is not whole")
{
    plain_case it;
    it.set({.body = "short", .open = true});
    auto response = it.ask("POST", "/book/1", "r1");
    CHECK(response.status() == "HTTP/1.1 504");
}

TEST_CASE("A stream without a length ends with its connection")
{
    stream_case it(6);
    auto& whole = it.add({{.body = events(1, 5), .frame = framing::none}});
    auto& inside_event = it.add({{.body = events(1, 2) + "id: 3\nda", .frame = framing::none},
                                 {.body = events(3, 5), .frame = framing::none}});
    auto& inside_each = it.add({{.body = events(1, 2) + "id: 3\nda", .frame = framing::none},
                                {.body = events(3, 3) + "id: 4\nda", .frame = framing::none}});
    auto& before_last_line =
        it.add({{.body = events(1, 2) + "id: 3\ndata: token3\n", .frame = framing::none},
                {.body = events(3, 5), .frame = framing::none}});
    auto& inside_first = it.add({{.body = "id: 1\nda", .frame = framing::none},
                                 {.body = events(1, 5), .frame = framing::none}});
    it.await_engines();
    it.earn_repeats();

    SECTION("between two events, it is whole")
    {
        auto response = it.ask(whole);
        CHECK(response.body == events(1, 5));
        CHECK(response.ended);
    }
    SECTION("inside an event, it goes on at another engine")
    {
        for (auto* engines : {&inside_event, &before_last_line, &inside_first})
        {
            auto response = it.ask(*engines);
            CHECK(response.body == events(1, 5));
            CHECK(response.ended);
        }
    }
    SECTION("inside an event at each engine, it is cut")
    {
        auto response = it.ask(inside_each);
        CHECK(response.body == events(1, 3));
        CHECK_FALSE(response.ended);
    }
}
