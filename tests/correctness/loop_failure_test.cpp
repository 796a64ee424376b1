// A host whose loop ended by an exception served on with what it had, without a line: with a
// configuration that no longer changed, or as a member that ordered nothing.

#include <catch2/catch.hpp>

#include <stdexcept>

#include "coordination/loop_restarts.hpp"
#include "serve/loop_runner.hpp"
#include "serve/order_controller.hpp"
#include "serve/state_watcher.hpp"
#include "serve_case.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr const char* failures = "banyanshunt_loop_failures_total";

struct host
{
    explicit host(const std::string& store_address = "127.0.0.1:1")
        : context(settings(store_address), loop.get_executor())
    {
    }

    static host_settings settings(const std::string& store_address)
    {
        host_settings to;
        to.name = host_id("h1");
        to.domain = domain_id("north");
        to.log.address = endpoint_text(store_address);
        return to;
    }
    template <class Condition>
    bool runs_until(const Condition& condition)
    {
        for (int n = 0; n < 300 && !condition(); ++n)
        {
            loop.run_for(10ms);
            loop.restart();
        }
        return condition();
    }
    bool counts(const std::string& name, int n) const
    {
        auto line = std::string(failures) + "{loop=\"" + name + "\"} " + std::to_string(n);
        return context.stats.text().find(line) != std::string::npos;
    }

    asio::io_context loop{1};
    host_context context;
};

task<void> fail_at_once()
{
    co_await pause(1ms);
    throw std::runtime_error("odd");
}

} // namespace

TEST_CASE("A loop that an exception ends is started again")
{
    host it;
    int starts = 0;

    SECTION("once it failed, it runs on")
    {
        auto run = [&]() -> task<void>
        {
            if (++starts == 1)
            {
                throw std::runtime_error("odd");
            }
            co_return;
        };
        spawn_loop(it.context, "reader", run);
        CHECK(it.runs_until([&] { return starts == 2; }));
        CHECK(it.counts("reader", 1));

        SECTION("and one that returns has ended")
        {
            it.loop.run_for(200ms);
            CHECK(starts == 2);
        }
    }
    SECTION("a cause that stays neither spins nor fills the log")
    {
        auto run = [&]
        {
            ++starts;
            return fail_at_once();
        };
        spawn_loop(it.context, "reader", run);
        it.loop.run_for(1000ms);
        CHECK(starts >= 3);
        CHECK(starts <= 6);
        CHECK(it.counts("reader", starts) != it.counts("reader", starts - 1));
    }
    SECTION("what is done once is not started again, and says that it failed")
    {
        bool told = false;
        spawn_once(it.context, "work", fail_at_once(), [&] { told = true; });
        CHECK(it.runs_until([&] { return told; }));
        CHECK(it.counts("work", 1));
    }
}

TEST_CASE("The delay before a loop is started again grows and is bounded")
{
    loop_restarts it({.min_delay = 50ms, .max_delay = 1600ms, .recovery_time = 10s});
    instant now(1h);
    CHECK(it.record_failure(now, now) == 50ms);
    CHECK(it.record_failure(now, now) == 100ms);
    for (int n = 0; n < 100; ++n)
    {
        it.record_failure(now, now + 9s);
    }
    CHECK(it.record_failure(now, now + 9s) == 1600ms);

    SECTION("a loop that ran well for a while begins anew")
    {
        CHECK(it.record_failure(now, now + 10s) == 50ms);
        CHECK(it.record_failure(now, now + 1s) == 100ms);
    }
}

TEST_CASE("The reader of the configuration goes on after an exception")
{
    store_stand_in store;
    host it("127.0.0.1:" + std::to_string(store.port()));
    state_watcher watcher(it.context);
    int changes = 0;
    int failing_change = 0;
    it.context.on_config_change = [&]
    {
        if (++changes == failing_change)
        {
            throw std::runtime_error("odd");
        }
    };
    auto in_force = [&](std::int64_t version)
    {
        return it.runs_until(
            [&] { return it.context.config && it.context.config->version == version; });
    };

    SECTION("in the first snapshot")
    {
        failing_change = 1;
        store.put("keyed.op", "config", serve_manifest(1, {"good-key"}));
        watcher.start();
        CHECK(in_force(1));
    }
    SECTION("in a record")
    {
        failing_change = 2;
        store.put("keyed.op", "config", serve_manifest(1, {"good-key"}));
        watcher.start();
        CHECK(in_force(1));
        store.put("keyed.op", "config", serve_manifest(2, {"good-key"}));
        CHECK(in_force(2));
    }
    SECTION("in a read that is made beside a waiting one")
    {
        failing_change = 2;
        store.put("keyed.op", "config", serve_manifest(1, {"good-key"}));
        watcher.start();
        CHECK(in_force(1));
        store.put_unnoticed("keyed.op", "config", serve_manifest(2, {"good-key"}),
                            missed_read_end::lost);
        it.context.refresh_config();
        CHECK(in_force(2));
    }
    CHECK(it.runs_until([&] { return changes >= failing_change; }));
    store.put("keyed.op", "config", serve_manifest(3, {"other-key"}));
    CHECK(in_force(3));
    CHECK(it.runs_until([&] { return it.context.config_is_fresh(it.context.now()); }));
    CHECK((it.counts("config", 1) || it.counts("config_read", 1)));
}

TEST_CASE("Records behind one that could not be handed over are read again")
{
    store_stand_in store;
    host it("127.0.0.1:" + std::to_string(store.port()));
    std::set<std::string> seen;
    bool failed = false;
    auto see = [&](const platform::keyed_record& record)
    {
        if (record.key == "b" && !std::exchange(failed, true))
        {
            throw std::runtime_error("odd");
        }
        seen.insert(record.key);
        return true;
    };
    topic_reader reader(it.context, {.topic = "keyed.servers", .wait = 100ms, .max_shared_age = 2s},
                        {.snapshot =
                             [&](const auto& records)
                         {
                             for (const auto& record : records)
                             {
                                 see(record);
                             }
                         },
                         .record = see,
                         .confirmed = [](instant) {}});

    SECTION("in a snapshot")
    {
        for (const char* key : {"a", "b", "c"})
        {
            store.put("keyed.servers", key, "1");
        }
        spawn_loop(it.context, "servers", [&] { return reader.run(); });
        CHECK(it.runs_until([&] { return seen.size() == 3; }));
    }
    SECTION("in the view of a peer")
    {
        store.put("keyed.servers", "a", "1");
        spawn_loop(it.context, "servers", [&] { return reader.run(); });
        CHECK(it.runs_until([&] { return reader.position().has_value(); }));
        store.put("keyed.servers", "b", "1");
        store.put("keyed.servers", "c", "1");
        auto from = reader.position()->count();
        CHECK_THROWS(reader.apply(
            {.end = log_offset(from + 2),
             .confirmed_at = it.context.now(),
             .complete = true,
             .records = {{"b", "1", log_offset(from)}, {"c", "1", log_offset(from + 1)}}}));
        CHECK(it.runs_until([&] { return seen.size() == 3; }));
    }
}

TEST_CASE("A host goes on ordering engines after an exception, and can leave")
{
    store_stand_in store;
    host it("127.0.0.1:" + std::to_string(store.port()));
    int asked = 0;
    order_controller orders(
        it.context,
        {.publish_placement = [](const server_id&, const server_placement&) {},
         .publish_pending_owner = [](const server_id&, const engine_owner&) {},
         .publish_release = [](int, const peer_release&) {},
         .publish_late_order = [] {},
         .ask_numbers = [](const std::vector<host_id>&, survey_round) {},
         .hosts =
             [&]
         {
             if (++asked == 1)
             {
                 throw std::runtime_error("odd");
             }
             return std::vector<known_host>{
                 {.it = {.host = host_id("h1"), .domain = domain_id("north")}, .live = true}};
         }});
    orders.start();
    CHECK(it.runs_until([&] { return asked > 1; }));
    CHECK(it.counts("membership", 1));

    bool left = false;
    auto leave = [&]() -> task<void>
    {
        co_await orders.leave();
        left = true;
    };
    spawn_once(it.context, "leave", leave());
    CHECK(it.runs_until([&] { return left; }));
}
