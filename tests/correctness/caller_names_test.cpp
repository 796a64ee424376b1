// Names that callers choose freely, seen by a complete entry host: they are passed on, and what the
// host keeps does not grow with them.

#include <mutex>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"
#include "stand_ins/raw_server.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

/// The value of a field in a request's text; empty if it has none.
std::string field_of(const std::string& text, const std::string& name)
{
    const std::string start = "\r\n" + name + ": ";
    auto at = text.find(start);
    if (at == std::string::npos)
    {
        return {};
    }
    at += start.size();
    return text.substr(at, text.find("\r\n", at) - at);
}

/// The value of a metric without labels; negative if it is not among these.
double metric(const std::string& scraped, const std::string& name)
{
    auto at = scraped.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(scraped.substr(at + name.size() + 2));
}

} // namespace

TEST_CASE("Model names that callers send to a plain service do not stay in a host's memory")
{
    constexpr int names = 300;
    std::mutex mutex;
    std::set<std::string> received;
    raw_server desk(
        [&](int, int, const std::string& text)
        {
            std::lock_guard lock(mutex);
            received.insert(field_of(text, "X-Model"));
            return raw_response{.bytes =
                                    http_text(200, "ok",
                                              "X-Request-Id: " + field_of(text, "X-Request-Id") +
                                                  "\r\nX-Server-Stamp: s\r\n")};
        });
    serve_case it;
    REQUIRE(it.started);
    auto entry = nlohmann::json::parse(it.desk1.registry_entry("desk"));
    entry["address"] = desk.address();
    it.store.put("keyed.servers", "raw", entry.dump());
    it.store.put("keyed.servers", "d1", "");
    it.store.put("keyed.servers", "d2", "");
    int n = 0;
    REQUIRE(serve_case::eventually(
        [&]
        {
            it.get("/read/1", "first-" + std::to_string(n++));
            return desk.requests() > 0;
        }));

    for (int k = 0; k < names; ++k)
    {
        auto id = std::to_string(k);
        REQUIRE(
            it.call("GET", "/read/1", "named-" + id, "good-key", "odd-" + id + "/a" + id).first ==
            200);
    }
    {
        std::lock_guard lock(mutex);
        for (int k = names - 100; k < names; ++k)
        {
            auto id = std::to_string(k);
            CHECK(received.contains("odd-" + id + "/a" + id));
        }
    }
    CHECK(metric(it.scrape(), "banyanshunt_kept_targets") == 0);

    SECTION("a model of an engine counts")
    {
        REQUIRE(it.stream("engine", "busy").first == 200);
        CHECK(metric(it.scrape(), "banyanshunt_kept_targets") >= 1);
    }
    SECTION("a model that no engine has is refused, and kept as little")
    {
        CHECK(it.stream("unknown", "not-a-model").first == 503);
        CHECK(metric(it.scrape(), "banyanshunt_kept_targets") == 0);
    }
}
