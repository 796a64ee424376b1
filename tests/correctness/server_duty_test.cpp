// What the host that orders a model engine decides for it.

#include <catch2/catch.hpp>

#include "coordination/server_duty.hpp"

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
        spec.weights_mb = 2.5 * model_mb;
        spec.adapter_slots = 2;
        entry.id = server_id("i-1");
        entry.models = {{model_id("m0"), {}}, {model_id("m1"), {}}};
        entry.on_disk = {model_id("m2")};
        duty.emplace(entry, server_duty_options{}, now);
        duty->adopt(
            engine_report{
                .models = entry.models, .busy = false, .orders_accepted = 2, .born_ms = 0},
            now);
        now += 1s;
    }

    server_duty::step decide()
    {
        return duty->decide(
            spec,
            {.other_holders = [this](const model_id& it) { return redundant.contains(it) ? 1 : 0; },
             .covered = [this](const model_id& it) { return covered.contains(it); },
             .take_store_load = [this] { return store_loads-- > 0; }},
            now);
    }
    void use(const char* model, int running, int asked)
    {
        duty->note_use(host_id("h"), unit(model), running, asked, now);
    }
    static engine_unit unit(const char* model, const char* adapter = "")
    {
        return {.model = model_id(model), .adapter = adapter_id(adapter)};
    }
    void answer(const server_duty::step& step, order_answer it)
    {
        duty->answered(step.order, it, spec, now);
    }

    engine_spec spec;
    backend_entry entry;
    instant now{std::chrono::hours(1)};
    std::optional<server_duty> duty;
    std::set<model_id> redundant;
    std::set<model_id> covered;
    int store_loads = 1;
};

using step_kind = server_duty::step::kind;

} // namespace

TEST_CASE("A model that is wished for takes the place of the one that is missed least")
{
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.duty->wish(engine_case::unit("m2"), 50ms, it.now);

    auto unload = it.decide();
    REQUIRE(unload.what == step_kind::order);
    CHECK(unload.order.what == engine_order::action::unload);
    CHECK(unload.order.model == model_id("m1"));
    CHECK(unload.order.expected_orders == 2);

    SECTION("the load follows as soon as the unload is accepted, and counts it")
    {
        it.answer(unload, order_answer::accepted);
        auto placement = it.duty->placement(it.spec, it.now);
        CHECK(placement.models.at(model_id("m1")).leaving);
        CHECK(placement.models.at(model_id("m2")).ready_at > it.now);
        auto load = it.decide();
        REQUIRE(load.what == step_kind::order);
        CHECK(load.order.model == model_id("m2"));
        CHECK(load.order.expected_orders == 3);
        it.answer(load, order_answer::accepted);
        CHECK(it.decide().what == step_kind::nothing);
        it.now += 900ms;
        CHECK(it.duty->placement(it.spec, it.now).models.at(model_id("m2")).ready_at <= it.now);
    }
    SECTION("an unload that waits for runs is asked for again, then looked into by a report")
    {
        it.answer(unload, order_answer::accepted);
        bool asked = false;
        for (int n = 0; n < 40 && !asked; ++n)
        {
            auto next = it.decide();
            asked = next.what == step_kind::ask_report;
            if (next.what == step_kind::order)
            {
                it.answer(next, order_answer::conflict);
            }
            it.now += 40ms;
            it.duty->wish(engine_case::unit("m2"), 50ms, it.now);
        }
        CHECK(asked);
    }
    SECTION("an order without an answer is settled by a report before the next")
    {
        it.answer(unload, order_answer::unknown);
        CHECK(it.decide().what == step_kind::nothing);
        it.now += 500ms;
        CHECK(it.decide().what == step_kind::ask_report);
    }
}

TEST_CASE("A model that other servers hold makes way before one that only this server holds")
{
    engine_case it;
    it.use("m0", 0, 3);
    it.use("m1", 0, 1);
    it.redundant = {model_id("m0")};
    it.duty->wish(engine_case::unit("m2"), 50ms, it.now);
    CHECK(it.decide().order.model == model_id("m0"));
}

TEST_CASE("Models that run requests stay until a wish has waited for long")
{
    engine_case it;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.redundant = {model_id("m1")};
    it.duty->wish(engine_case::unit("m2"), 100ms, it.now);
    CHECK(it.decide().what == step_kind::nothing);
    it.now += 1100ms;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.duty->wish(engine_case::unit("m2"), 1200ms, it.now);
    auto step = it.decide();
    REQUIRE(step.what == step_kind::order);
    CHECK(step.order.model == model_id("m1"));
}

TEST_CASE("A burst of wishes for one model on many servers becomes one load")
{
    engine_case it;
    it.duty->wish(engine_case::unit("m2"), 50ms, it.now);
    it.covered = {model_id("m2")};
    CHECK(it.decide().what == step_kind::nothing);
}

TEST_CASE("Loads from the weight store keep this host's part of its rate")
{
    engine_case it;
    it.store_loads = 0;
    it.entry.models = {{model_id("m0"), {}}};
    it.duty.emplace(it.entry, server_duty_options{}, it.now);
    it.duty->adopt(
        engine_report{.models = it.entry.models, .busy = false, .orders_accepted = 0, .born_ms = 0},
        it.now);
    it.duty->wish(engine_case::unit("m3"), 0ms, it.now);
    CHECK(it.decide().what == step_kind::nothing);
    it.store_loads = 1;
    it.now += 200ms;
    it.duty->wish(engine_case::unit("m3"), 0ms, it.now);
    CHECK(it.decide().order.model == model_id("m3"));
}

TEST_CASE("Adapters come and go within their places")
{
    engine_case it;
    for (const char* adapter : {"a1", "a2"})
    {
        it.duty->wish(engine_case::unit("m0", adapter), 0ms, it.now);
        auto step = it.decide();
        REQUIRE(step.order.what == engine_order::action::load);
        it.answer(step, order_answer::accepted);
        it.now += 20ms;
    }
    it.duty->note_use(host_id("h"), engine_case::unit("m0", "a2"), 1, 1, it.now);

    SECTION("an idle one makes way for the next")
    {
        it.now += 1s;
        it.duty->note_use(host_id("h"), engine_case::unit("m0", "a2"), 1, 1, it.now);
        it.duty->wish(engine_case::unit("m0", "a3"), 0ms, it.now);
        auto step = it.decide();
        CHECK(step.order.what == engine_order::action::unload);
        CHECK(step.order.adapter == adapter_id("a1"));
    }
    SECTION("with all in use there is no room, and it is told")
    {
        it.duty->note_use(host_id("h"), engine_case::unit("m0", "a1"), 1, 1, it.now);
        it.duty->wish(engine_case::unit("m0", "a3"), 0ms, it.now);
        CHECK(it.decide().what == step_kind::nothing);
        CHECK_FALSE(it.duty->placement(it.spec, it.now).adapter_room);
    }
}

TEST_CASE("A server that starts again under its id holds and has counted nothing")
{
    engine_case it;
    it.entry.born_ms = 5;
    it.entry.models.clear();
    it.duty->adopt(it.entry, it.now);
    CHECK(it.duty->placement(it.spec, it.now).models.empty());
    CHECK(it.decide().what == step_kind::ask_report);
}

TEST_CASE("an adapter that is still in use keeps its place")
{
    engine_case engine;
    engine.duty->wish(engine_case::unit("m0", "a1"), 0ms, engine.now);
    auto load = engine.decide();
    REQUIRE(load.what == server_duty::step::kind::order);
    engine.answer(load, order_answer::accepted);
    engine.now += 50ms;

    SECTION("its unload waits for runs: nothing is ordered until a report says what is held")
    {
        engine_order unload{.what = engine_order::action::unload,
                            .model = model_id("m0"),
                            .adapter = adapter_id("a1"),
                            .expected_orders = 3};
        engine.duty->answered(unload, order_answer::accepted, engine.spec, engine.now);
        engine.duty->wish(engine_case::unit("m1", "a1"), 0ms, engine.now);
        CHECK(engine.decide().what == server_duty::step::kind::nothing);
        engine.now += 500ms;
        CHECK(engine.decide().what == server_duty::step::kind::ask_report);
    }
}
