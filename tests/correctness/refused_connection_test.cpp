// Servers that have ended, whose addresses refuse connections while the registry still lists them.

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("A connection that is refused takes nothing of the retry budget")
{
    serve_case it;
    REQUIRE(it.started);
    it.adjust_settings = [](host_settings& settings)
    {
        settings.bounds.retry_ratio = 0;
        settings.bounds.retry_extra = 0;
    };
    REQUIRE(it.restart_host(0));
    it.store.put("keyed.servers", "d1", "");
    auto entry = nlohmann::json::parse(it.desk1.registry_entry("desk"));
    // No process listens there.
    entry["address"] = "127.0.0.1:1";
    for (const char* server : {"a1", "a2", "a3"})
    {
        it.store.put("keyed.servers", server, entry.dump());
    }
    // Hosts read the registry each 1.1 s.
    std::this_thread::sleep_for(1500ms);
    for (int n = 0; n < 10; ++n)
    {
        INFO(n);
        CHECK(it.send("POST", "/book/1", "r" + std::to_string(n), "good-key").status == 200);
    }
}
