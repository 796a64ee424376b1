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

TEST_CASE("Numbers and addresses out of range are not read as other values")
{
    auto refused = [](const std::string& field, const std::string& text)
    {
        INFO(field << " " << text);
        CHECK_FALSE(is_read(entry_with(field, text)));
    };
    CHECK(is_read(entry_with("a_field_to_come", "[1]")));
    for (const char* text :
         {"4294967297", "9223372036854775808", "-3", "0", "1e300", "4.5", "65536", "\"4\"", "null"})
    {
        refused("slots", text);
    }
    for (const char* text : {"18446744073709551615", "9223372036854775807", "-1", "1e300", "0.5"})
    {
        refused("born", text);
        refused("sequence", text);
    }
    for (const char* text : {"1e300", "-1e300", "1e400", "\"soon\""})
    {
        refused("cold_remaining_ms", text);
    }
    CHECK(is_read(entry_with("cold_remaining_ms", "65099.99999")));
    for (const char* text :
         {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:", "300.1.1.1:80", "1.1:8", "10.0.0.1:80:90",
          ".:", "10.0.0.1", ":80", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1:80x", "0.0.0.0:80",
          "255.255.255.255:80", "224.0.0.1:80", "", "10.0.0.1 :80", "10.0.0.1:80\\r\\nX: 1"})
    {
        refused("address", "\"" + std::string(text) + "\"");
    }
    CHECK(is_read(entry_with("address", "\"10.0.0.1:65535\"")));

    SECTION("nor are those of a report, the configuration or the store")
    {
        auto report = [](const char* sequence, const char* born)
        {
            return platform::parse_server_report("{\"models\":[],\"busy\":false,\"sequence\":" +
                                                 std::string(sequence) + ",\"born\":" + born + "}")
                .has_value();
        };
        CHECK(report("3", "1782998129167"));
        CHECK_FALSE(report("1e300", "0"));
        CHECK_FALSE(report("-1", "0"));
        CHECK_FALSE(report("3", "18446744073709551615"));

        json config = json::parse(serve_manifest(1, {"good-key"}));
        CHECK(platform::parse_manifest(config.dump()));
        for (const char* field : {"timeout_ms", "target_latency_ms", "priority", "max_attempts"})
        {
            INFO(field);
            json odd = config;
            odd["routes"][0][field] = 1e300;
            CHECK_FALSE(platform::parse_manifest(odd.dump()));
        }
        json odd = config;
        odd["limits"]["max_body_bytes"] = -1;
        CHECK_FALSE(platform::parse_manifest(odd.dump()));

        CHECK_FALSE(platform::parse_newest("{\"items\":[],\"end\":-1}"));
        CHECK_FALSE(platform::parse_newest("{\"items\":[],\"end\":18446744073709551615}"));
        CHECK_FALSE(platform::parse_append("{\"offset\":1e300}"));
        CHECK_FALSE(platform::parse_join("{\"generation\":-1,\"parts\":[]}"));
        CHECK_FALSE(platform::parse_join("{\"generation\":1,\"parts\":[[\"t\",4294967296,0]]}"));
        CHECK_FALSE(platform::parse_join("{\"generation\":1,\"parts\":[[\"t\"]]}"));
    }
}

TEST_CASE("A whole number is read in each form that JSON has for it")
{
    auto read = [](const std::string& field, const std::string& text)
    { return platform::parse_server_entry(server_id("i-1"), entry_with(field, text)); };

    SECTION("with a fraction of zero, or with an exponent")
    {
        for (const auto& [text, value] :
             std::vector<std::pair<std::string, std::int64_t>>{{"4.0", 4}, {"1e3", 1000}})
        {
            INFO(text);
            auto entry = read("sequence", text);
            REQUIRE(entry);
            CHECK(entry->sequence == value);
            auto slots = read("slots", text);
            REQUIRE(slots);
            CHECK(slots->slots == value);
        }
        auto report = platform::parse_server_report(R"({"models":[],"busy":false,"sequence":2.0})");
        REQUIRE(report);
        CHECK(report->orders_accepted == 2);
    }
    SECTION("but not one that is no whole number, or that no writer represents exactly")
    {
        for (const char* text : {"4.5", "1e300", "-1e300", "9007199254740993.0", "0.9", "-0.5"})
        {
            INFO(text);
            CHECK_FALSE(read("sequence", text));
            CHECK_FALSE(read("slots", text));
        }
    }
    SECTION("and a list that is null is a list that is missing")
    {
        CHECK(read("models", "null"));
        CHECK(read("at_hand", "null"));
    }
}

TEST_CASE("Names that cannot be sent or logged are refused")
{
    const std::string good = entry_with("slots", "4");
    for (const auto& id : {std::string("a\r\nX-Tenant: b"), std::string("\xff\xfe"),
                           std::string("\0\1", 2), std::string("a b"), std::string()})
    {
        CHECK_FALSE(is_read(good, id));
    }
    CHECK(is_read(good, std::string(255, 'k')));
    const std::string huge = "\"" + std::string(100'000, 'n') + "\"";
    for (const char* field : {"service", "zone", "state"})
    {
        INFO(field);
        CHECK_FALSE(is_read(entry_with(field, huge)));
        CHECK_FALSE(is_read(entry_with(field, "\"a\\nb\"")));
    }
    CHECK_FALSE(is_read(entry_with("models", "[{\"name\":" + huge + "}]")));
    CHECK_FALSE(is_read(entry_with("at_hand", "{\"on_disk\":[" + huge + "]}")));
    CHECK(is_read(entry_with("models", "[{\"name\":\"m\"},{\"name\":\"m\"}]")));
}

TEST_CASE("A page of the store with an unreadable record keeps the others")
{
    auto page = platform::parse_newest(
        "{\"items\":[{\"key\":\"a\",\"value\":\"*\"},{\"key\":\"b\","
        "\"value\":\"aGk=\"},{\"value\":\"aGk=\"},7,{\"key\":\"c\","
        "\"value\":\"a===\"},{\"key\":\"d\",\"value\":\"=aGk\"}],\"end\":6}");
    REQUIRE(page);
    REQUIRE(page->records.size() == 4);
    CHECK(page->records[0].value == "");
    CHECK(page->records[1].value == "hi");
    CHECK(page->records[2].value == "");
    CHECK(page->records[3].value == "");

    SECTION("the next page is requested after a key of any bytes")
    {
        CHECK(platform::newest_call("t", "a b&c=\xff\r\n%").target ==
              "/api/log-newest?topic=t&part=0&after=a%20b%26c%3D%FF%0D%0A%25");
    }
    SECTION("a record that claims more bytes than there are is not read")
    {
        // The end of the partition, 8, and its first retained offset.
        std::string body = std::string("\0\0\0\0\0\0\0\x8", 8) + std::string(8, '\0');
        auto records = platform::parse_records(body + "\xff\xff\xff\xff" + "abc", log_offset(5));
        CHECK((!records || records->next == log_offset(5)));
        records = platform::parse_records(
            body + std::string("\0\0\0\3\1kv\0\0\0\2\xffk\0\0\0\0", 17), log_offset(5));
        REQUIRE(records);
        CHECK(records->records.size() == 1);
        CHECK(records->next == log_offset(8));
    }
}

TEST_CASE("Ten thousand odd entries do not keep a host from the good ones")
{
    auto put_all = [](store_stand_in& store)
    {
        for (int n = 0; n < 10'000; ++n)
        {
            store.put(server_topic, "\n\xff odd" + std::to_string(n),
                      entry_with("slots", "4294967297"));
        }
    };
    SECTION("they are in the first snapshot")
    {
        serve_case it(1, store_path::direct, put_all);
        REQUIRE(it.started);
        // 10,004 records at 500 a page.
        CHECK(it.store.newest_calls(server_topic) <= 22);
        check_reads_on(it);
    }
    SECTION("they come later")
    {
        serve_case it;
        REQUIRE(it.started);
        put_all(it.store);
        check_reads_on(it);
    }
}

TEST_CASE("A known server stays in use when its newer entry is odd")
{
    serve_case it;
    REQUIRE(it.started);
    for (const char* text : {"1e300", "18446744073709551615", "-1"})
    {
        it.store.put(server_topic, "d1", entry_with("sequence", text));
        it.store.put(server_topic, "d2", entry_with("born", text));
    }
    std::this_thread::sleep_for(1500ms);
    for (int n = 0; n < 20; ++n)
    {
        CHECK(it.get("/read/1", "read-" + std::to_string(n)).first == 200);
    }
    SECTION("its next good entry is not taken for an old one")
    {
        it.store.put(server_topic, "d1", it.desk1.registry_entry("desk", true));
        auto served = [&] { return it.desk1.served().size(); };
        std::this_thread::sleep_for(1500ms);
        auto before = served();
        for (int n = 0; n < 20; ++n)
        {
            CHECK(it.get("/read/1", "later-" + std::to_string(n)).first == 200);
        }
        CHECK(served() == before);
    }
    SECTION("it is no longer used once its key is dropped")
    {
        check_reads_on(it);
    }
}
