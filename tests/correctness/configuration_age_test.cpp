// Complete entry hosts, and how long after the store's acknowledgement a configuration is in force
// on each of them.

#include <catch2/catch.hpp>

#include <thread>

#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

constexpr const char* config_topic = "keyed.op";
constexpr milliseconds apply_bound = slo_bounds{}.ticket_apply;

/// Waits until the next read of the configuration reaches the store.
void wait_for_read(const store_stand_in& store)
{
    int before = store.reads(config_topic);
    for (int n = 0; n < 5000 && store.reads(config_topic) == before; ++n)
    {
        std::this_thread::sleep_for(1ms);
    }
    REQUIRE(store.reads(config_topic) > before);
}

/// Waits until every host serves `key`; returns the time since `from`.
milliseconds time_to_force(const serve_case& it, const std::string& key,
                           std::chrono::steady_clock::time_point from)
{
    for (std::size_t host = 0; host < it.hosts.size(); ++host)
    {
        while (it.send("GET", "/read/1", "probe", key, {}, host).status != 200 &&
               std::chrono::steady_clock::now() < from + 5s)
        {
            std::this_thread::sleep_for(10ms);
        }
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - from);
}

} // namespace

TEST_CASE("A configuration is in force in time though a waiting read does not notice it")
{
    SECTION("a lone host reads again before the bound")
    {
        serve_case it;
        REQUIRE(it.started);
        std::vector<std::string> keys = {"good-key"};
        for (int version = 2; version < 6; ++version)
        {
            wait_for_read(it.store);
            keys.push_back("key-" + std::to_string(version));
            it.store.put_unnoticed(config_topic, "config", serve_manifest(version, keys),
                                   missed_read_end::answered);
            auto acknowledged_at = std::chrono::steady_clock::now();
            std::this_thread::sleep_until(acknowledged_at + apply_bound);
            CHECK(it.send("GET", "/read/1", "late", keys.back()).status == 200);
        }
    }
    SECTION("a host among others hears from them")
    {
        serve_case it(3);
        REQUIRE(it.started);
        auto end = GENERATE(missed_read_end::answered, missed_read_end::lost);
        std::vector<std::string> keys = {"good-key"};
        for (int version = 2; version < 5; ++version)
        {
            wait_for_read(it.store);
            keys.push_back("key-" + std::to_string(version));
            it.store.put_unnoticed(config_topic, "config", serve_manifest(version, keys), end);
            auto acknowledged_at = std::chrono::steady_clock::now();
            CHECK(time_to_force(it, keys.back(), acknowledged_at) < apply_bound);
        }
    }
}

TEST_CASE("A request does not run by a configuration that has to be superseded")
{
    serve_case it;
    REQUIRE(it.started);
    wait_for_read(it.store);
    // Less than a host waits for an overdue response.
    it.store.wait_delay_ms = 250;
    REQUIRE(it.send("GET", "/read/1", "before", "good-key").status == 200);
    it.store.put_unnoticed(config_topic, "config", serve_manifest(2, {"new-key"}),
                           missed_read_end::answered);
    auto acknowledged_at = std::chrono::steady_clock::now();
    std::this_thread::sleep_until(acknowledged_at + apply_bound);
    CHECK(it.send("GET", "/read/1", "withdrawn", "good-key").status == 401);
    CHECK(it.send("GET", "/read/1", "new", "new-key").status == 200);
}

TEST_CASE("A complete read whose records are older than its end is no configuration to go by")
{
    serve_case it;
    REQUIRE(it.started);
    constexpr auto staleness = 2500ms;
    it.store.stale_items_ms = static_cast<int>(milliseconds(staleness).count());
    wait_for_read(it.store);
    it.store.put_unnoticed(config_topic, "config", serve_manifest(2, {"new-key"}),
                           missed_read_end::answered);
    auto acknowledged_at = std::chrono::steady_clock::now();
    it.store.drop_history();
    std::this_thread::sleep_until(acknowledged_at + apply_bound);

    SECTION("it does not refuse what the newer configuration allows")
    {
        while (std::chrono::steady_clock::now() < acknowledged_at + staleness)
        {
            CHECK(it.send("GET", "/read/1", "new", "new-key").status != 401);
            std::this_thread::sleep_for(50ms);
        }
    }
    SECTION("it has the newer one as soon as the store says so")
    {
        std::this_thread::sleep_until(acknowledged_at + staleness + apply_bound);
        CHECK(it.send("GET", "/read/1", "new", "new-key").status == 200);
        CHECK(it.send("GET", "/read/1", "withdrawn", "good-key").status == 401);
    }
}

TEST_CASE("A host that may be behind the configuration does not refuse by it")
{
    serve_case it(1, store_path::proxied);
    REQUIRE(it.started);
    wait_for_read(it.store);
    it.store_link->cut();
    it.store.put(config_topic, "config", serve_manifest(2, {"good-key", "new-key"}));
    auto acknowledged_at = std::chrono::steady_clock::now();

    SECTION("it cannot ask, and says so")
    {
        std::this_thread::sleep_until(acknowledged_at + apply_bound);
        CHECK(it.send("GET", "/read/1", "new", "new-key").status == 503);
        CHECK(it.send("GET", "/nowhere", "lost", "good-key").status == 503);
        it.store_link->heal();
        REQUIRE(serve_case::eventually(
            [&] { return it.send("GET", "/read/1", "new", "new-key").status == 200; }));
    }
    SECTION("it can ask again, and serves")
    {
        std::this_thread::sleep_until(acknowledged_at + apply_bound);
        it.store_link->heal();
        CHECK(it.send("GET", "/read/1", "new", "new-key").status == 200);
        CHECK(it.send("GET", "/read/1", "bad", "bad-key").status == 401);
    }
}

TEST_CASE("A configuration is in force in time while the host stops that reads it for its domain")
{
    serve_case it(6);
    REQUIRE(it.started);
    std::vector<std::string> keys = {"good-key"};
    int version = 1;
    // The hosts stop one after the other until each reads for itself, so the reader is among them.
    for (std::size_t stopping = 0; stopping < 2; ++stopping)
    {
        it.hosts[stopping]->request_stop();
        auto stopped_at = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() < stopped_at + 3500ms)
        {
            keys.push_back("key-" + std::to_string(++version));
            it.store.put(config_topic, "config", serve_manifest(version, keys));
            auto acknowledged_at = std::chrono::steady_clock::now();
            std::this_thread::sleep_for(100ms);
            for (std::size_t host = 2; host < it.hosts.size(); ++host)
            {
                while (it.send("GET", "/read/1", "probe", keys.back(), {}, host).status != 200 &&
                       std::chrono::steady_clock::now() < acknowledged_at + 5s)
                {
                    std::this_thread::sleep_for(10ms);
                }
            }
            CHECK(std::chrono::steady_clock::now() - acknowledged_at < apply_bound);
        }
    }
}

TEST_CASE("A host that the store does not answer follows the configuration that its peers have")
{
    auto hosts = GENERATE(2U, 6U);
    serve_case it(hosts, store_path::proxied_first);
    REQUIRE(it.started);
    wait_for_read(it.store);
    it.store_link->cut();
    auto cut_at = std::chrono::steady_clock::now();
    std::vector<std::string> keys = {"good-key"};
    int version = 1;
    // For longer than it serves by a configuration that nobody confirms.
    while (std::chrono::steady_clock::now() < cut_at + 7s)
    {
        keys.push_back("key-" + std::to_string(++version));
        it.store.put(config_topic, "config", serve_manifest(version, keys));
        auto acknowledged_at = std::chrono::steady_clock::now();
        std::this_thread::sleep_until(acknowledged_at + apply_bound);
        CHECK(it.send("GET", "/read/1", "new", keys.back()).status == 200);
        // Whether the key is bad is said by a young configuration only.
        int refused = it.send("GET", "/read/1", "bad", "bad-key").status;
        CHECK((refused == 401 || refused == 503));
    }

    SECTION("a withdrawn key is refused in time")
    {
        it.store.put(config_topic, "config", serve_manifest(++version, {"new-key"}));
        std::this_thread::sleep_for(slo_bounds{}.key_revocation);
        CHECK(it.send("GET", "/read/1", "withdrawn", "good-key").status == 401);
    }
    SECTION("it serves on when the store answers again")
    {
        it.store_link->heal();
        std::this_thread::sleep_for(apply_bound);
        CHECK(it.send("GET", "/read/1", "healed", "good-key").status == 200);
    }
}
