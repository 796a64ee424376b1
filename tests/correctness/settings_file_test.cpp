// A settings file with a value out of range, without a meaning or cut short was read as another
// one, with which the host served, or ended at its first request.

#include <catch2/catch.hpp>

#include <map>

#include "platform/settings.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using settings_map = std::map<std::string, std::string>;

const settings_map good = {{"node_name", "front-regina-a-1"},
                           {"zone", "regina-a"},
                           {"ip", "10.1.0.25"},
                           {"listen.front", "10.1.0.25:8221"},
                           {"listen.ready", "10.1.0.25:8224"},
                           {"internal_ports", "7600,7615"},
                           {"limits.cpu_share", "0.25"},
                           {"limits.memory_mb", "260"},
                           {"limits.max_fds", "4100"},
                           {"bounds.drain_ms", "2000"},
                           {"bounds.grace_s", "8"},
                           {"bounds.revoke_fail_closed", "true"},
                           {"bounds.retry_budget_ratio", "0.2"},
                           {"platform.address", "10.200.1.7:8225"},
                           {"platform.parts", "12"}};

std::string text_of(const settings_map& settings)
{
    std::string text;
    for (const auto& [key, value] : settings)
    {
        text += key + "=" + value + "\n";
    }
    return text;
}

std::string with(const std::string& key, const std::string& value)
{
    settings_map settings = good;
    settings[key] = value;
    return text_of(settings);
}

struct odd_value
{
    const char* key;
    const char* value;
};

const odd_value odd_values[] = {
    {"limits.max_fds", "1e300"},
    {"limits.max_fds", "18446744073709551616"},
    {"limits.max_fds", "4100.5"},
    {"limits.max_fds", "nan"},
    {"limits.max_fds", "-1"},
    {"limits.max_fds", "0x10"},
    {"limits.memory_mb", "inf"},
    {"limits.memory_mb", "260 "},
    {"limits.cpu_share", "nan"},
    {"limits.cpu_share", "1e999"},
    {"platform.parts", "0"},
    {"platform.parts", "4294967297"},
    {"platform.parts", "2.5"},
    {"platform.ttl_min_ms", "1e300"},
    {"bounds.drain_ms", "inf"},
    {"bounds.drain_ms", "9223372036854775808"},
    {"bounds.grace_s", "1e18"},
    {"bounds.grace_s", "nan"},
    {"bounds.retry_budget_ratio", "infinity"},
    {"bounds.revoke_fail_closed", "yes"},
    {"bounds.revoke_fail_closed", "True"},
    {"bounds.revoke_fail_closed", "1"},
    {"internal_ports", "7600,99999"},
    {"internal_ports", "0,7615"},
    {"internal_ports", "7615,7600"},
    {"internal_ports", "-7600,7615"},
    {"internal_ports", "7600,7615,7620"},
    {"internal_ports", ","},
    {"ip", "front-1"},
    {"ip", "10.1.0"},
    {"ip", "0.0.0.0"},
    {"ip", "255.255.255.255"},
    {"listen.front", "10.1.0.25"},
    {"listen.front", "10.1.0.25:0"},
    {"listen.front", "10.1.0.25:65536"},
    {"listen.ready", "10.1.0.25:8224x"},
    {"platform.address", "store:8225"},
    {"platform.address", "0.0.0.0:8225"},
    {"platform.address", "10.200.1.7:99999"},
    {"node_name", "front 1"},
    {"node_name", "front\x01"},
    {"zone", "regina a"},
};

} // namespace

TEST_CASE("A settings file with an odd value is refused as a whole")
{
    REQUIRE(platform::parse_settings(text_of(good)));

    for (const auto& [key, value] : odd_values)
    {
        INFO(key << "=" << value);
        auto settings = platform::parse_settings(with(key, value));
        CHECK_FALSE(settings);
        if (!settings)
        {
            CHECK(settings.error().detail.find("\"" + std::string(key) + "\"") !=
                  std::string::npos);
        }
    }

    SECTION("a long value is not repeated whole")
    {
        auto settings = platform::parse_settings(with("ip", std::string(100'000, '1')));
        REQUIRE_FALSE(settings);
        CHECK(settings.error().detail.size() < 300);
    }
}

TEST_CASE("A settings file whose lines are odd is refused as a whole")
{
    SECTION("a line without a value")
    {
        auto settings = platform::parse_settings(text_of(good) + "bounds.lease_ms\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().detail.find("line 16") != std::string::npos);
    }
    SECTION("a field that comes twice")
    {
        auto settings = platform::parse_settings(text_of(good) + "zone=brandon-d\n");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().detail == "the setting \"zone\" comes twice");
    }
    SECTION("a file without an end")
    {
        CHECK_FALSE(platform::parse_settings(text_of(good) + std::string(2'000'000, 'a') + "=1\n"));
    }
}

TEST_CASE("Settings that are in order are read as they are written")
{
    SECTION("fields that are not known, empty or missing change nothing")
    {
        auto settings = platform::parse_settings(with("bounds.lease_ms", "") +
                                                 "a.b=\na.b=nan\nzones.x=prairie-west\n\r\n\n");
        REQUIRE(settings);
        CHECK(settings->bounds.lease == host_settings().bounds.lease);
    }
    SECTION("durations may have a fraction, and whole numbers a point")
    {
        CHECK(platform::parse_settings(with("bounds.grace_s", "0.5"))->bounds.stop_grace == 500ms);
        CHECK(platform::parse_settings(with("platform.parts", "12.0"))->log.partitions == 12);
        CHECK(platform::parse_settings(with("bounds.drain_ms", "0"))->bounds.drain == 0ms);
    }
    SECTION("a flag is what it says")
    {
        CHECK_FALSE(platform::parse_settings(with("bounds.revoke_fail_closed", "false"))
                        ->bounds.refuse_when_stale);
    }
    SECTION("a host may listen on all of its addresses")
    {
        CHECK(platform::parse_settings(with("listen.front", "0.0.0.0:8221")));
    }
}
