// Two hosts of one failure domain: one reads the registry, the other takes over what it has read.

#include <catch2/catch.hpp>

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "serve/state_watcher.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

using std::chrono::milliseconds;

constexpr const char* registry = "keyed.servers";
/// Longer than the 3 s after which entries of running servers may have lapsed.
constexpr milliseconds outage{3200};
/// The age of a view beyond which it is not taken over.
constexpr milliseconds oldest_view{2600};
/// Longer than the 2 s within which running servers are registered again.
constexpr milliseconds recovery{2300};

/// A host of which only the reader of the registry runs.
struct registry_host
{
    explicit registry_host(const std::string& store_address)
        : context(settings(store_address), loop.get_executor()), watcher(context)
    {
        asio::co_spawn(loop, watcher.run_servers(), asio::detached);
    }

    static host_settings settings(const std::string& store_address)
    {
        host_settings to;
        to.name = host_id("h1");
        to.domain = domain_id("north");
        to.log.address = endpoint_text(store_address);
        return to;
    }
    bool uses(const char* server) const
    {
        return context.servers.accepts(server_id(server), 1, context.now());
    }
    std::int64_t position() const
    {
        auto it = watcher_position();
        return it ? it->count() : -1;
    }
    std::optional<log_offset> watcher_position() const
    {
        return const_cast<state_watcher&>(watcher).servers().position();
    }

    asio::io_context loop{1};
    host_context context;
    state_watcher watcher;
};

struct sharing_hosts
{
    sharing_hosts()
    {
        store.put(registry, "d1", desk1.registry_entry("desk"));
        follower.context.view.read_by_other = true;
        run_until([&] { return reader.uses("d1") && follower.uses("d1"); });
    }

    void step(bool share = true)
    {
        reader.loop.poll();
        if (share && follower.watcher.servers().position())
        {
            follower.watcher.servers().apply(
                reader.watcher.servers().view_from(*follower.watcher.servers().position()));
        }
        if (share)
        {
            follower.loop.poll();
        }
        std::this_thread::sleep_for(10ms);
    }
    template <class Condition>
    void run_until(const Condition& condition)
    {
        for (int n = 0; n < 300 && !condition(); ++n)
        {
            step();
        }
        REQUIRE(condition());
    }
    void run_for(milliseconds length, bool share = true)
    {
        auto until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until)
        {
            step(share);
        }
    }

    store_stand_in store;
    fault_proxy link{"127.0.0.1:" + std::to_string(store.port())};
    backend_stand_in desk1{"d1", {}};
    registry_host reader{link.address()};
    registry_host follower{link.address()};
};

} // namespace

TEST_CASE("A server that registers again after an outage is used by all hosts of a domain")
{
    sharing_hosts it;
    it.link.cut();

    SECTION("the removal and the registration are read one after the other")
    {
        it.run_for(outage, false);
        it.store.put(registry, "d1", "");
        it.link.heal();
        it.run_until([&] { return it.follower.position() == 2; });
        CHECK(it.reader.uses("d1"));
        CHECK(it.follower.uses("d1"));
        it.store.put(registry, "d1", it.desk1.registry_entry("desk"));
        it.run_until([&] { return it.follower.position() == 3; });
        it.run_for(recovery);
        CHECK(it.reader.uses("d1"));
        CHECK(it.follower.uses("d1"));
    }
    SECTION("both are read in one response")
    {
        it.run_for(outage, false);
        it.store.put(registry, "d1", "");
        it.store.put(registry, "d1", it.desk1.registry_entry("desk"));
        it.link.heal();
        it.run_until([&] { return it.follower.position() == 3; });
        it.run_for(recovery);
        CHECK(it.reader.uses("d1"));
        CHECK(it.follower.uses("d1"));
    }
}

TEST_CASE("A host that takes over what another has read knows that the store was out")
{
    sharing_hosts it;
    it.link.cut();
    // The reader's answers arrive on, with data that grows older.
    auto until = std::chrono::steady_clock::now() + oldest_view;
    while (std::chrono::steady_clock::now() < until)
    {
        it.reader.loop.poll();
        it.follower.watcher.servers().apply(
            it.reader.watcher.servers().view_from(*it.follower.watcher.servers().position()));
        std::this_thread::sleep_for(10ms);
    }
    it.run_for(outage - oldest_view, false);
    it.store.put(registry, "d1", "");
    it.link.heal();
    it.run_until([&] { return it.follower.position() == 2; });
    CHECK(it.reader.uses("d1"));
    CHECK(it.follower.uses("d1"));
}

TEST_CASE("A host that takes over a view while its own call is in flight reads every later record")
{
    sharing_hosts it;
    // The follower's own call waits for the next record; its response arrives after the view.
    it.follower.context.view.read_by_other = false;
    int reads = it.store.reads(registry);
    for (int n = 0; n < 3000 && it.store.reads(registry) == reads; ++n)
    {
        it.follower.loop.poll();
        std::this_thread::sleep_for(1ms);
    }
    REQUIRE(it.store.reads(registry) > reads);
    it.store.put(registry, "other", it.desk1.registry_entry("desk"));
    for (int n = 0; n < 300 && it.reader.position() < 2; ++n)
    {
        it.reader.loop.poll();
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(it.reader.position() == 2);
    it.follower.watcher.servers().apply(it.reader.watcher.servers().view_from(log_offset(1)));
    REQUIRE(it.follower.position() == 2);
    it.follower.loop.poll();
    CHECK(it.follower.position() == 2);
    it.store.put(registry, "d1", "");
    auto until = std::chrono::steady_clock::now() + 3s;
    while (std::chrono::steady_clock::now() < until)
    {
        it.follower.loop.poll();
        std::this_thread::sleep_for(10ms);
    }
    CHECK_FALSE(it.follower.uses("d1"));
}
