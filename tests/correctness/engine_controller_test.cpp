// What the host that orders a model engine decides for it.

#include <catch2/catch.hpp>

#include "coordination/engine_controller.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr double model_mb = 70000;

/// One engine that holds models m0 and m1 and has room for no third, and its orderer.
class engine_case
{
public:
    engine_case()
    {
        for (const char* name : {"m0", "m1", "m2", "m3"})
        {
            model_spec model;
            model.id = model_id(name);
            model.weights_mb = model_mb;
            model.load_from_disk = 800ms;
            model.load_from_store = 6000ms;
            spec.models.emplace(model.id, model);
        }
        spec.memory_mb = 2.5 * model_mb;
        spec.adapter_slots = 2;
        entry.id = server_id("i-1");
        entry.models = {{model_id("m0"), {}}, {model_id("m1"), {}}};
        entry.on_disk = {model_id("m2")};
        duty.emplace(entry, engine_controller_options{}, now);
        duty->adopt(
            engine_report{
                .models = entry.models, .busy = false, .orders_accepted = 2, .start_time_ms = 0},
            now);
        now += 1s;
    }

    engine_controller::step decide()
    {
        return duty->decide(
            spec,
            {.count_other_replicas = [this](const model_id& it)
             { return redundant.contains(it) ? 1 : 0; },
             .available_elsewhere = [this](const model_id& it) { return covered.contains(it); },
             .acquire_store_load = [this] { return store_loads-- > 0; }},
            now);
    }
    void use(const char* model, int running, int asked)
    {
        duty->record_use(host_id("h"), unit(model), running, asked, now);
    }
    static model_target unit(const char* model, const char* adapter = "")
    {
        return {.model = model_id(model), .adapter = adapter_id(adapter)};
    }
    void answer(const engine_controller::step& step, order_response it)
    {
        duty->handle_response(step.order, it, spec, now);
    }

    engine_spec spec;
    backend_entry entry;
    instant now{std::chrono::hours(1)};
    std::optional<engine_controller> duty;
    std::set<model_id> redundant;
    std::set<model_id> covered;
    int store_loads = 1;
};

using step_kind = engine_controller::step::action_kind;

} // namespace

TEST_CASE("A model that is wished for takes the place of the one that is missed least")
{
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.duty->request_load(engine_case::unit("m2"), 50ms, it.now);

    auto unload = it.decide();
    REQUIRE(unload.action == step_kind::order);
    CHECK(unload.order.action == engine_order::action_kind::unload);
    CHECK(unload.order.model == model_id("m1"));
    CHECK(unload.order.expected_orders == 2);

    SECTION("the load follows as soon as the unload is accepted, and counts it")
    {
        it.answer(unload, order_response::accepted);
        auto placement = it.duty->placement(it.spec, it.now);
        CHECK(placement.models.at(model_id("m1")).unloading);
        CHECK(placement.models.at(model_id("m2")).ready_at > it.now);
        auto load = it.decide();
        REQUIRE(load.action == step_kind::order);
        CHECK(load.order.model == model_id("m2"));
        CHECK(load.order.expected_orders == 3);
        it.answer(load, order_response::accepted);
        CHECK(it.decide().action == step_kind::none);
        it.now += 900ms;
        CHECK(it.duty->placement(it.spec, it.now).models.at(model_id("m2")).ready_at <= it.now);
    }
    SECTION("an unload that waits for runs is asked for again, then looked into by a report")
    {
        it.answer(unload, order_response::accepted);
        bool asked = false;
        for (int n = 0; n < 40 && !asked; ++n)
        {
            auto next = it.decide();
            asked = next.action == step_kind::query_report;
            if (next.action == step_kind::order)
            {
                it.answer(next, order_response::conflict);
            }
            it.now += 40ms;
            it.duty->request_load(engine_case::unit("m2"), 50ms, it.now);
        }
        CHECK(asked);
    }
    SECTION("an order without an answer is settled by a report before the next")
    {
        it.answer(unload, order_response::unknown);
        CHECK(it.decide().action == step_kind::none);
        it.now += 500ms;
        CHECK(it.decide().action == step_kind::query_report);
    }
}

TEST_CASE("A model that other servers hold makes way before one that only this server holds")
{
    engine_case it;
    it.use("m0", 0, 3);
    it.use("m1", 0, 1);
    it.redundant = {model_id("m0")};
    it.duty->request_load(engine_case::unit("m2"), 50ms, it.now);
    CHECK(it.decide().order.model == model_id("m0"));
}

TEST_CASE("Models that run requests stay until a wish has waited for long")
{
    engine_case it;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.redundant = {model_id("m1")};
    it.duty->request_load(engine_case::unit("m2"), 100ms, it.now);
    CHECK(it.decide().action == step_kind::none);
    it.now += 1100ms;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.duty->request_load(engine_case::unit("m2"), 1200ms, it.now);
    auto step = it.decide();
    REQUIRE(step.action == step_kind::order);
    CHECK(step.order.model == model_id("m1"));
}

TEST_CASE("A burst of wishes for one model on many servers becomes one load")
{
    engine_case it;
    it.duty->request_load(engine_case::unit("m2"), 50ms, it.now);
    it.covered = {model_id("m2")};
    CHECK(it.decide().action == step_kind::none);
}

TEST_CASE("Loads from the weight store keep this host's part of its rate")
{
    engine_case it;
    it.store_loads = 0;
    it.entry.models = {{model_id("m0"), {}}};
    it.duty.emplace(it.entry, engine_controller_options{}, it.now);
    it.duty->adopt(
        engine_report{
            .models = it.entry.models, .busy = false, .orders_accepted = 0, .start_time_ms = 0},
        it.now);
    it.duty->request_load(engine_case::unit("m3"), 0ms, it.now);
    CHECK(it.decide().action == step_kind::none);
    it.store_loads = 1;
    it.now += 200ms;
    it.duty->request_load(engine_case::unit("m3"), 0ms, it.now);
    CHECK(it.decide().order.model == model_id("m3"));
}

TEST_CASE("Adapters come and go within their places")
{
    engine_case it;
    for (const char* adapter : {"a1", "a2"})
    {
        it.duty->request_load(engine_case::unit("m0", adapter), 0ms, it.now);
        auto step = it.decide();
        REQUIRE(step.order.action == engine_order::action_kind::load);
        it.answer(step, order_response::accepted);
        it.now += 20ms;
    }
    it.duty->record_use(host_id("h"), engine_case::unit("m0", "a2"), 1, 1, it.now);

    SECTION("an idle one makes way for the next")
    {
        it.now += 1s;
        it.duty->record_use(host_id("h"), engine_case::unit("m0", "a2"), 1, 1, it.now);
        it.duty->request_load(engine_case::unit("m0", "a3"), 0ms, it.now);
        auto step = it.decide();
        CHECK(step.order.action == engine_order::action_kind::unload);
        CHECK(step.order.adapter == adapter_id("a1"));
    }
    SECTION("with all in use there is no room, and it is told")
    {
        it.duty->record_use(host_id("h"), engine_case::unit("m0", "a1"), 1, 1, it.now);
        it.duty->request_load(engine_case::unit("m0", "a3"), 0ms, it.now);
        CHECK(it.decide().action == step_kind::none);
        CHECK_FALSE(it.duty->placement(it.spec, it.now).adapter_room);
    }
}

TEST_CASE("A server that starts again under its id holds and has counted nothing")
{
    engine_case it;
    it.entry.start_time_ms = 5;
    it.entry.models.clear();
    it.duty->update(it.entry, it.now);
    CHECK(it.duty->placement(it.spec, it.now).models.empty());
    CHECK(it.decide().action == step_kind::query_report);
}

TEST_CASE("an adapter that is still in use keeps its place")
{
    engine_case engine;
    engine.duty->request_load(engine_case::unit("m0", "a1"), 0ms, engine.now);
    auto load = engine.decide();
    REQUIRE(load.action == engine_controller::step::action_kind::order);
    engine.answer(load, order_response::accepted);
    engine.now += 50ms;

    SECTION("its unload waits for runs: nothing is ordered until a report says what is held")
    {
        engine_order unload{.action = engine_order::action_kind::unload,
                            .model = model_id("m0"),
                            .adapter = adapter_id("a1"),
                            .expected_orders = 3};
        engine.duty->handle_response(unload, order_response::accepted, engine.spec, engine.now);
        engine.duty->request_load(engine_case::unit("m1", "a1"), 0ms, engine.now);
        CHECK(engine.decide().action == engine_controller::step::action_kind::none);
        engine.now += 500ms;
        CHECK(engine.decide().action == engine_controller::step::action_kind::query_report);
    }
}
