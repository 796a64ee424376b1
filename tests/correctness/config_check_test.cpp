// The check of a serving configuration before an operator sends it. Guards against configurations
// that hosts accept and that reject or misroute callers' requests once they are in effect.

#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/config_command.hpp"
#include "platform/manifest.hpp"

using namespace banyanshunt;

namespace
{

using nlohmann::json;

/// Version 7 of an operator's configuration, in which nothing is to be found.
json sound_manifest()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"chat","host":"desk.example","path_prefix":"/chat/","kind":"streaming",
         "timeout_ms":12000,"target_latency_ms":400,"gap_aim_ms":200,"max_attempts":2,
         "resumable":true,"service":"engines"},
        {"name":"orders","host":"desk.example","path_prefix":"/orders/","timeout_ms":3000,
         "max_attempts":1,"service":"plain"}],
      "services":[
        {"name":"engines","health_path":"/health","engine":{"weights_mb":80000,"adapter_slots":8,
         "models":[{"name":"large","weights_mb":72700,"adapters":3,"adapter_mb":66}]}},
        {"name":"plain","health_path":"/health"}],
      "limits":{"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
      "tenants":[
        {"name":"north","api_keys":["i9n73hh2b9wu3fexd9dn"],"unit":"tokens","plain_tokens":200,
         "rate_per_s":5000,"burst":9000},
        {"name":"south","api_keys":["k4t20aa8c1zq5mvbo7yl"],"rate_per_s":10,"burst":10}]})");
}

std::vector<config_finding> check(const json& manifest,
                                  const std::optional<std::string>& in_effect = {})
{
    return check_config_text(manifest.dump(), in_effect, platform::parse_manifest);
}

/// "kind key" of each finding, in their order.
std::vector<std::string> names(const std::vector<config_finding>& found)
{
    std::vector<std::string> out;
    std::transform(found.begin(), found.end(), std::back_inserter(out),
                   [](const auto& it) { return std::string(to_string(it.kind)) + " " + it.key; });
    return out;
}

using list = std::vector<std::string>;

} // namespace

TEST_CASE("An operator checks a configuration before it is sent")
{
    json manifest = sound_manifest();
    auto& routes = manifest["routes"];
    auto& services = manifest["services"];
    auto& workspaces = manifest["tenants"];

    SECTION("nothing is found in one that is in order")
    {
        auto found = check(manifest);
        CHECK(names(found).empty());
        CHECK(exit_of(found) == config_in_order);

        SECTION("nor in limits that are just wide enough")
        {
            routes[0]["timeout_ms"] = 400;
            routes[0]["gap_aim_ms"] = 400;
            manifest["limits"]["idle_timeout_ms"] = 3000;
            workspaces[0]["burst"] = 200;
            services[0]["engine"]["weights_mb"] = 72766;
            CHECK(names(check(manifest)).empty());
        }
    }
    SECTION("it cannot be read")
    {
        SECTION("a value of the wrong type is named with its entry")
        {
            routes[1]["timeout_ms"] = "soon";
            auto found = check(manifest);
            REQUIRE(names(found) == list{"error routes[1].timeout_ms"});
            CHECK(found[0].reason.find("number") != std::string::npos);
            CHECK(exit_of(found) == config_errors);
        }
        SECTION("a missing value is named with its entry")
        {
            workspaces[1].erase("name");
            auto found = check(manifest);
            REQUIRE(names(found) == list{"error tenants[1]"});
            CHECK(found[0].reason.find("'name' not found") != std::string::npos);
        }
        SECTION("text that ends early is an error of the file")
        {
            auto found = check_config_text("{\"version\":", {}, platform::parse_manifest);
            REQUIRE(found.size() == 1);
            CHECK_FALSE(found[0].key.empty());
            CHECK_FALSE(found[0].reason.empty());
            CHECK(exit_of(found) == config_errors);
        }
    }
    SECTION("some of its entries can never match")
    {
        SECTION("of two routes with one prefix, the host uses the later")
        {
            routes.push_back(routes[0]);
            routes[2]["name"] = "chat-2";
            auto found = check(manifest);
            REQUIRE(names(found) == list{"never_matches routes.chat"});
            CHECK(found[0].reason.find("chat-2") != std::string::npos);
            CHECK(exit_of(found) == config_warnings);
            // The check and the hosts agree on which of the two is hidden.
            auto config = platform::parse_manifest(manifest.dump());
            REQUIRE(config);
            CHECK((*config)->find_route("desk.example", "/chat/a")->name.str() == "chat-2");

            SECTION("but not those of two hosts")
            {
                routes[2]["host"] = "shop.example";
                CHECK(names(check(manifest)).empty());
            }
            SECTION("nor a longer prefix beside a shorter one")
            {
                routes[2]["path_prefix"] = "/chat/long/";
                CHECK(names(check(manifest)).empty());
            }
        }
        SECTION("no request has the route's host or prefix")
        {
            routes[0]["host"] = "Desk.example";
            routes[1]["path_prefix"] = "/orders";
            CHECK(names(check(manifest)) == list{"never_matches routes.chat.host",
                                                 "never_matches routes.orders.path_prefix"});
        }
        SECTION("a key that two workspaces list belongs to the first, and is not shown")
        {
            workspaces[1]["api_keys"].push_back("i9n73hh2b9wu3fexd9dn");
            auto found = check(manifest);
            REQUIRE(names(found) == list{"never_matches workspaces.south.keys"});
            CHECK(found[0].reason.find("i9n7...") != std::string::npos);
            CHECK(found[0].reason.find("i9n73") == std::string::npos);
            CHECK(found[0].reason.find("north") != std::string::npos);
        }
        SECTION("a workspace without a key serves nobody")
        {
            workspaces[1].erase("api_keys");
            CHECK(names(check(manifest)) == list{"never_matches workspaces.south"});
        }
        SECTION("a service or workspace that is listed twice is the first of the two")
        {
            services.push_back(services[1]);
            workspaces.push_back(workspaces[1]);
            CHECK(names(check(manifest)) ==
                  list{"never_matches services.plain", "never_matches workspaces.south"});
        }
        SECTION("no route leads to a service")
        {
            routes.erase(1);
            CHECK(names(check(manifest)) == list{"never_matches services.plain"});
        }
        SECTION("a model is larger than an engine")
        {
            services[0]["engine"]["weights_mb"] = 72699;
            CHECK(names(check(manifest)) == list{"never_matches services.engines.models.large"});
        }
        SECTION("a model fits, but none of its adapters does")
        {
            SECTION("as the engine's memory is full")
            {
                services[0]["engine"]["weights_mb"] = 72765;
            }
            SECTION("as the engine has no slots")
            {
                services[0]["engine"]["adapter_slots"] = 0;
            }
            CHECK(names(check(manifest)) ==
                  list{"never_matches services.engines.models.large.adapters"});
        }
    }
    SECTION("some of its limits contradict each other")
    {
        auto contradicts = [&](const std::string& key)
        {
            auto found = check(manifest);
            CHECK(names(found) == list{"contradiction " + key});
            CHECK(exit_of(found) == config_warnings);
        };
        SECTION("a route's timeout is below its objective")
        {
            routes[0]["target_latency_ms"] = 12001;
            contradicts("routes.chat.timeout");
        }
        SECTION("a gap between events may be longer than the whole response")
        {
            routes[0]["gap_aim_ms"] = 12001;
            contradicts("routes.chat.event_gap");
        }
        SECTION("a request that may run once has several attempts")
        {
            SECTION("as the route repeats nothing")
            {
                routes[1]["max_attempts"] = 2;
                contradicts("routes.orders.max_attempts");
            }
            SECTION("as the stream cannot be resumed")
            {
                routes[0]["resumable"] = false;
                contradicts("routes.chat.max_attempts");
            }
        }
        SECTION("a route names a service that does not exist")
        {
            routes[0]["traffic_split"] =
                json::parse(R"([{"service":"engines","weight":9},{"service":"gone","weight":1}])");
            contradicts("routes.chat.services");
        }
        SECTION("two routes have one name")
        {
            routes.push_back(routes[0]);
            routes[2]["host"] = "shop.example";
            contradicts("routes.chat");
        }
        SECTION("a default request costs more than the workspace's burst")
        {
            SECTION("in tokens")
            {
                workspaces[0]["burst"] = 199;
                contradicts("workspaces.north.burst");
            }
            SECTION("in requests")
            {
                workspaces[1]["burst"] = 0;
                contradicts("workspaces.south.burst");
            }
        }
        SECTION("a workspace has a burst, but a rate of 0, which is no limit")
        {
            workspaces[1]["rate_per_s"] = 0;
            contradicts("workspaces.south.burst");
        }
        SECTION("no body, or no header, is permitted")
        {
            SECTION("body")
            {
                manifest["limits"]["max_body_bytes"] = 0;
                contradicts("limits.body_bytes");
            }
            SECTION("header")
            {
                manifest["limits"]["max_header_bytes"] = 0;
                contradicts("limits.header_bytes");
            }
        }
        SECTION("a connection is idle before its header is late")
        {
            manifest["limits"]["idle_timeout_ms"] = 2999;
            contradicts("limits.idle_timeout");
        }
    }
    SECTION("it is compared with the version in effect")
    {
        const std::string in_effect = sound_manifest().dump();

        SECTION("a version that is not higher would be ignored")
        {
            auto found = check(manifest, in_effect);
            CHECK(names(found) == list{"error version"});
            CHECK(exit_of(found) == config_errors);
        }
        SECTION("a version in effect that cannot be read is an error")
        {
            auto found = check(manifest, "{");
            CHECK(names(found) == list{"error against"});
            CHECK(exit_of(found) == config_errors);
        }
        SECTION("a higher version")
        {
            manifest["version"] = 8;

            SECTION("may change nothing else")
            {
                auto found = check(manifest, in_effect);
                CHECK(names(found).empty());
            }
            SECTION("changes fields")
            {
                routes[0]["timeout_ms"] = 9000;
                services[0]["engine"]["models"][0]["adapters"] = 4;
                workspaces[0]["rate_per_s"] = 6000;
                manifest["limits"]["max_body_bytes"] = 2000000;
                auto found = check(manifest, in_effect);
                REQUIRE(names(found) == list{"difference routes.chat.timeout",
                                             "difference services.engines.models.large",
                                             "difference workspaces.north.rate",
                                             "difference limits.body_bytes"});
                CHECK(found[0].reason == "changed from 12000 ms to 9000 ms");
                // Differences are what the operator wants; scripts go on.
                CHECK(exit_of(found) == config_in_order);
            }
            SECTION("adds and removes entries")
            {
                routes[1]["name"] = "orders-2";
                routes[1]["service"] = "plain-2";
                services[1]["name"] = "plain-2";
                workspaces[1]["name"] = "west";
                auto found = check(manifest, in_effect);
                CHECK(names(found) ==
                      list{"difference routes.orders", "difference routes.orders-2",
                           "difference services.plain", "difference services.plain-2",
                           "difference workspaces.south", "difference workspaces.west",
                           "difference workspaces.south.keys", "difference workspaces.west.keys"});
                CHECK(exit_of(found) == config_in_order);
            }
            SECTION("replaces a key, which is not shown")
            {
                workspaces[0]["api_keys"] = {"zzzz3hh2b9wu3fexd9dn"};
                auto found = check(manifest, in_effect);
                REQUIRE(names(found) == list{"difference workspaces.north.keys",
                                             "difference workspaces.north.keys"});
                CHECK(found[0].reason == "1 removed");
                CHECK(found[1].reason == "1 added");
            }
            SECTION("has differences and contradictions")
            {
                routes[0]["timeout_ms"] = 300;
                auto found = check(manifest, in_effect);
                CHECK(names(found) ==
                      list{"contradiction routes.chat.timeout", "difference routes.chat.timeout"});
                CHECK(exit_of(found) == config_warnings);
            }
        }
    }
}
