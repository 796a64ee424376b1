// Odd records of other writers among good ones, seen by a complete entry host and by the parsers:
// an odd record is refused alone, and the host goes on with the others.

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "platform/manifest.hpp"
#include "platform/registry.hpp"
#include "platform/store.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using nlohmann::json;

constexpr const char* server_topic = "keyed.servers";

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A good entry, with `text` in place of the value of a field.
std::string entry_with(const std::string& field, const std::string& text)
{
    json good = {
        {"service", "desk"},       {"address", "10.128.0.9:8080"},
        {"zone", "north"},         {"slots", 4},
        {"state", "ready"},        {"cold_remaining_ms", 0},
        {"born", 1782998129167},   {"sequence", 4},
        {"models", json::array()}, {"at_hand", {{"in_memory", {"rare"}}, {"on_disk", {"rare"}}}}};
    good[field] = "PLACE";
    std::string entry = good.dump();
    const std::string place = "\"PLACE\"";
    return entry.replace(entry.find(place), place.size(), text);
}

bool is_read(const std::string& entry, const std::string& id = "i-1")
{
    return platform::parse_server_entry(server_id(id), entry).has_value();
}

/// A server that is announced after the odd records is used: the host has read past them.
void check_reads_on(serve_case& it)
{
    backend_stand_in late("late", {});
    it.store.put(server_topic, "late", late.registry_entry("desk"));
    it.store.put(server_topic, "d1", "");
    it.store.put(server_topic, "d2", "");
    int n = 0;
    CHECK(serve_case::eventually(
        [&]
        {
            it.get("/read/1", "after-" + std::to_string(n++));
            return !late.served().empty();
        }));
    CHECK(it.exit_code() == -1);
    it.store.put(server_topic, "late", "");
}

} // namespace

TEST_CASE("A deeply nested entry of a server does not end the host")
{
    // In fields that are read as a list and as an object, and in one that is not read. Of these
    // depths the smallest fits a record.
    std::vector<std::string> odd;
    for (const char* field : {"models", "at_hand", "a_field_to_come"})
    {
        for (std::size_t depth : {100'000u, 150'000u, 1'000'000u})
        {
            odd.push_back(entry_with(field, nested(depth)));
        }
    }
    auto put_all = [&](store_stand_in& store)
    {
        for (std::size_t n = 0; n < odd.size(); ++n)
        {
            store.put(server_topic, "odd" + std::to_string(n), odd[n]);
        }
    };
    SECTION("it is refused by the parser, and so is such a report")
    {
        for (const auto& it : odd)
        {
            CHECK_FALSE(is_read(it));
        }
        for (const char* field : {"coming", "models", "a_field_to_come"})
        {
            json report = {{"busy", false}, {"sequence", 1}};
            std::string text = report.dump();
            text.insert(1, "\"" + std::string(field) + "\":" + nested(100'000) + ",");
            CHECK_FALSE(platform::parse_server_report(text));
        }
    }
    SECTION("a configuration and a page of the store are refused")
    {
        std::string deep = nested(100'000);
        CHECK_FALSE(
            platform::parse_manifest("{\"version\":1,\"services\":[],\"routes\":" + deep + "}"));
        CHECK_FALSE(platform::parse_newest("{\"end\":0,\"items\":" + deep + "}"));
        CHECK_FALSE(platform::parse_join("{\"generation\":1,\"parts\":" + deep + "}"));
        CHECK_FALSE(platform::parse_append("{\"offset\":" + deep + "}"));
    }
    SECTION("it is in the first snapshot")
    {
        serve_case it(1, store_path::direct, put_all);
        REQUIRE(it.started);
        check_reads_on(it);
    }
    SECTION("it comes later")
    {
        serve_case it;
        REQUIRE(it.started);
        put_all(it.store);
        check_reads_on(it);
    }
}
