/// \file
/// Checks the contract of engines that placers rely on, for engines that check fencing numbers and
/// for those that do not.

#include <catch2/catch.hpp>

#include "coordination/placement/order_tracker.hpp"
#include "stand_ins/engine_stand_in.hpp"
#include "state/errors.hpp"
#include "transport/backend_clients.hpp"

using namespace banyanshunt;

namespace
{

engine_order order_of(order_kind kind, const char* model, int memory, int fencing)
{
    return {.kind = kind,
            .model = model_id(model),
            .version = version_id("v1"),
            .adapter = {},
            .memory = mebibytes(memory),
            .fencing = fencing_number(fencing)};
}

struct engine_and_client
{
    explicit engine_and_client(bool checks)
        : engine({.memory = mebibytes(100), .checks_fencing = checks, .weight_store = {}})
    {
    }

    verdict<done> order(const engine_order& it) { return client.order(engine.address(), it); }
    engine_report report()
    {
        auto it = client.read_back(engine.address());
        REQUIRE(it);
        return *it;
    }

    engine_stand_in engine;
    http_client http;
    http_model_engine client{http};
};

} // namespace

TEST_CASE("an engine holds the replicas that it was ordered to load")
{
    for (bool checks : {true, false})
    {
        engine_and_client it(checks);
        REQUIRE(it.order(order_of(order_kind::load_model, "guide", 60, 5)));

        SECTION("a load's memory is counted as soon as it is ordered")
        {
            CHECK(it.report().memory_used == mebibytes(60));
            CHECK(find_replica(it.report(), model_id("guide")));
        }
        SECTION("the same load again changes nothing")
        {
            CHECK(it.order(order_of(order_kind::load_model, "guide", 60, 5)));
            CHECK(it.report().memory_used == mebibytes(60));
            CHECK(it.report().replicas.size() == 1);
        }
        SECTION("a load that does not fit did not run")
        {
            auto refused = it.order(order_of(order_kind::load_model, "quote", 60, 5));
            REQUIRE(!refused);
            CHECK(refused.error().run == run_state::not_run);
            CHECK(refused.error().code == errc::memory_full);
            CHECK(it.report().memory_used == mebibytes(60));
        }
        SECTION("an unload frees its memory, and an unload of a model not held changes nothing")
        {
            CHECK(it.order(make_fencing_order(fencing_number(6))));
            CHECK(it.report().memory_used == mebibytes(60));
            CHECK(it.order(order_of(order_kind::unload_model, "guide", 60, 6)));
            CHECK(it.report().memory_used == mebibytes(0));
            CHECK(it.report().replicas.empty());
        }
    }
}

TEST_CASE("an order under an older fencing number")
{
    SECTION("is refused by an engine that checks, once it has seen a newer one")
    {
        engine_and_client it(true);
        REQUIRE(it.order(make_fencing_order(fencing_number(7))));
        CHECK(it.report().fencing == fencing_number(7));
        auto refused = it.order(order_of(order_kind::load_model, "guide", 10, 6));
        REQUIRE(!refused);
        CHECK(refused.error().run == run_state::not_run);
        CHECK(refused.error().code == errc::fenced);
        CHECK(it.report().replicas.empty());
        CHECK(it.order(order_of(order_kind::load_model, "guide", 10, 7)));
    }
    SECTION("is accepted by an engine that does not check, so that only lease timing protects "
            "against it")
    {
        engine_and_client it(false);
        REQUIRE(it.order(make_fencing_order(fencing_number(7))));
        CHECK(it.order(order_of(order_kind::load_model, "guide", 10, 6)));
        CHECK(it.report().replicas.size() == 1);
    }
}

TEST_CASE("an order whose response is lost may have run, and the engine's report shows it")
{
    engine_and_client it(true);
    it.engine.faults().set({{.call = "order", .kind = fault_kind::lose_response}});
    auto lost = it.order(order_of(order_kind::load_model, "guide", 10, 1));
    REQUIRE(!lost);
    CHECK(lost.error().run == run_state::may_have_run);
    CHECK(it.report().replicas.size() == 1);

    SECTION("so that the tracker settles it without sending it again")
    {
        order_tracker tracker(milliseconds(2000));
        test_clock clock;
        auto load = order_of(order_kind::load_model, "guide", 10, 1);
        tracker.record_sent(server_id("e1"), load, clock.now());
        CHECK(tracker.pending_memory(server_id("e1")) == mebibytes(10));
        tracker.settle(server_id("e1"), it.report(), clock.now());
        CHECK(tracker.pending_memory(server_id("e1")) == mebibytes(0));
    }
}

TEST_CASE("an order without effect counts as pending until it can no longer take effect")
{
    order_tracker tracker(milliseconds(2000));
    test_clock clock;
    tracker.record_sent(server_id("e1"), order_of(order_kind::load_model, "guide", 10, 1),
                        clock.now());
    engine_report empty;
    clock.advance(milliseconds(2000));
    tracker.settle(server_id("e1"), empty, clock.now());
    CHECK(tracker.pending_memory(server_id("e1")) == mebibytes(10));
    clock.advance(milliseconds(1));
    tracker.settle(server_id("e1"), empty, clock.now());
    CHECK(tracker.pending_memory(server_id("e1")) == mebibytes(0));
}
