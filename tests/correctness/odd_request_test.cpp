// Requests whose names are odd, beside those of other callers.

#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds config_time{2500};
constexpr std::chrono::milliseconds registry_time{1500};

} // namespace

TEST_CASE("An odd adapter name of one caller does not end the orders to its engine")
{
    serve_case it;
    REQUIRE(it.started);
    auto manifest = nlohmann::json::parse(serve_manifest(2, {"good-key"}));
    for (auto& service : manifest["services"])
    {
        if (!service.contains("engine"))
        {
            continue;
        }
        for (auto& model : service["engine"]["models"])
        {
            model["adapters"] = 3;
        }
    }
    it.store.put("keyed.op", "config", manifest.dump());
    std::this_thread::sleep_for(config_time);
    // One engine is left, so that no other can load for it.
    it.store.put("keyed.servers", "e2", it.engine2.registry_entry("models", true));
    std::this_thread::sleep_for(registry_time);
    for (const char* model : {"busy/a9", "busy/\xff\xfe"})
    {
        SECTION(model == std::string("busy/a9") ? "it does not exist" : "it is not UTF-8")
        {
            for (int n = 0; n < 2; ++n)
            {
                it.stream("odd-" + std::to_string(n), model);
            }
            CHECK(it.stream("rare", "rare").first == 200);
        }
    }
}
