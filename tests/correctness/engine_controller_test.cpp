// The decisions of the host that owns a model engine.

#include <catch2/catch.hpp>

#include "coordination/engine_controller.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr double model_mb = 70000;

/// An engine that holds models m0 and m1 and has no room for a third, and its controller.
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
        controller.emplace(entry, engine_controller_options{}, now);
        controller->adopt(
            residency_report{
                .models = entry.models, .busy = false, .orders_accepted = 2, .start_time_ms = 0},
            now);
        now += 1s;
    }

    engine_controller::step decide()
    {
        return controller->decide(spec,
                                  {.count_other_replicas = [this](const model_id& it)
                                   { return redundant.contains(it) ? 1 : 0; },
                                   .available_elsewhere = [this](const model_target& it)
                                   { return held_elsewhere.contains(it.model); },
                                   .acquire_store_load = [this] { return store_loads-- > 0; }},
                                  now);
    }
    void use(const char* model, int running, int requests)
    {
        controller->record_use(host_id("h"), target(model), running, requests, now);
    }
    static model_target target(const char* model, const char* adapter = "")
    {
        return {.model = model_id(model), .adapter = adapter_id(adapter)};
    }
    void respond(const engine_controller::step& step, order_response response)
    {
        controller->handle_response(step.order, response, spec, now);
    }

    engine_spec spec;
    backend_entry entry;
    instant now{std::chrono::hours(1)};
    std::optional<engine_controller> controller;
    std::set<model_id> redundant;
    std::set<model_id> held_elsewhere;
    int store_loads = 1;
};

using step_kind = engine_controller::step::action_kind;

} // namespace

TEST_CASE("A requested model replaces the one that is least needed")
{
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.controller->request_load(engine_case::target("m2"), 50ms, it.now);

    auto unload = it.decide();
    REQUIRE(unload.action == step_kind::order);
    CHECK(unload.order.action == load_order::action_kind::unload);
    CHECK(unload.order.model == model_id("m1"));
    CHECK(unload.order.expected_orders == 2);

    SECTION("the load follows as soon as the unload is accepted, and counts it")
    {
        it.respond(unload, order_response::accepted);
        auto placement = it.controller->placement(it.spec, it.now);
        CHECK(placement.models.at(model_id("m1")).unloading);
        CHECK(placement.models.at(model_id("m2")).ready_at > it.now);
        auto load = it.decide();
        REQUIRE(load.action == step_kind::order);
        CHECK(load.order.model == model_id("m2"));
        CHECK(load.order.expected_orders == 3);
        it.respond(load, order_response::accepted);
        CHECK(it.decide().action == step_kind::none);
        it.now += 900ms;
        CHECK(it.controller->placement(it.spec, it.now).models.at(model_id("m2")).ready_at <=
              it.now);
    }
    SECTION("a load that conflicts with a slow unload is retried, and then a report is queried")
    {
        it.respond(unload, order_response::accepted);
        bool queried = false;
        for (int n = 0; n < 40 && !queried; ++n)
        {
            auto next = it.decide();
            queried = next.action == step_kind::query_report;
            if (next.action == step_kind::order)
            {
                it.respond(next, order_response::conflict);
            }
            it.now += 40ms;
            it.controller->request_load(engine_case::target("m2"), 50ms, it.now);
        }
        CHECK(queried);
    }
    SECTION("an order without a response is resolved by a report before the next order")
    {
        it.respond(unload, order_response::unknown);
        CHECK(it.decide().action == step_kind::none);
        it.now += 500ms;
        CHECK(it.decide().action == step_kind::query_report);
    }
}

TEST_CASE("A load that was carried out late, during an unload, is not followed by another load")
{
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.controller->request_load(engine_case::target("m2"), 50ms, it.now);
    auto unload = it.decide();
    it.respond(unload, order_response::accepted);
    auto load = it.decide();
    REQUIRE(load.order.model == model_id("m2"));
    it.respond(load, order_response::unknown);
    it.now += 500ms;
    REQUIRE(it.decide().action == step_kind::query_report);
    auto report_busy = [&](std::int64_t orders)
    {
        it.controller->adopt(residency_report{.models = {{model_id("m0"), {}}},
                                              .busy = true,
                                              .orders_accepted = orders,
                                              .start_time_ms = 0},
                             it.now);
        it.now += 200ms;
        it.controller->request_load(engine_case::target("m3"), 700ms, it.now);
    };

    SECTION("the engine is still unloading: the load is ordered again")
    {
        report_busy(3);
        auto again = it.decide();
        REQUIRE(again.action == step_kind::order);
        CHECK(again.order.expected_orders == 3);
    }
    SECTION("the engine has accepted another order: a report must first show what it holds")
    {
        report_busy(4);
        CHECK(it.decide().action == step_kind::none);
        it.now += 500ms;
        CHECK(it.decide().action == step_kind::query_report);
        it.controller->adopt(
            residency_report{.models = {{model_id("m0"), {}}, {model_id("m2"), {}}},
                             .busy = false,
                             .orders_accepted = 4,
                             .start_time_ms = 0},
            it.now);
        auto next = it.decide();
        CHECK_FALSE((next.action == step_kind::order &&
                     next.order.action == load_order::action_kind::load));
    }
}

TEST_CASE("A model that other servers hold is evicted before one that only this server holds")
{
    engine_case it;
    it.use("m0", 0, 3);
    it.use("m1", 0, 1);
    it.redundant = {model_id("m0")};
    it.controller->request_load(engine_case::target("m2"), 50ms, it.now);
    CHECK(it.decide().order.model == model_id("m0"));
}

TEST_CASE("Models that run requests are evicted only after a load request has waited long")
{
    engine_case it;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.redundant = {model_id("m1")};
    it.controller->request_load(engine_case::target("m2"), 100ms, it.now);
    CHECK(it.decide().action == step_kind::none);
    it.now += 1100ms;
    it.use("m0", 2, 2);
    it.use("m1", 1, 1);
    it.controller->request_load(engine_case::target("m2"), 1200ms, it.now);
    auto step = it.decide();
    REQUIRE(step.action == step_kind::order);
    CHECK(step.order.model == model_id("m1"));
}

TEST_CASE("A model is not evicted unused while its adapters are requested")
{
    engine_case it;
    it.use("m0", 0, 2);
    it.use("m1", 0, 1);
    it.controller->request_load(engine_case::target("m2", "a1"), 50ms, it.now);
    auto unload = it.decide();
    REQUIRE(unload.order.model == model_id("m1"));
    it.respond(unload, order_response::accepted);
    auto load = it.decide();
    REQUIRE(load.order.model == model_id("m2"));
    it.respond(load, order_response::accepted);

    // Refused requests of m2 leave no use behind; another model is requested meanwhile.
    it.now += 2s;
    it.use("m0", 0, 1);
    it.controller->request_load(engine_case::target("m2", "a1"), 0ms, it.now);
    auto adapter = it.decide();
    REQUIRE(adapter.order.adapter == adapter_id("a1"));
    it.respond(adapter, order_response::accepted);
    it.controller->request_load(engine_case::target("m2", "a2"), 0ms, it.now);
    it.controller->request_load(engine_case::target("m3"), 50ms, it.now);
    auto second_adapter = it.decide();
    REQUIRE(second_adapter.order.adapter == adapter_id("a2"));
    it.respond(second_adapter, order_response::accepted);
    auto eviction = it.decide();
    CHECK_FALSE(eviction.order.model == model_id("m2"));
}

TEST_CASE("A model with many running requests is not unloaded because it has another replica")
{
    engine_case it;
    it.use("m0", 40, 20);
    it.use("m1", 1, 1);
    it.redundant = {model_id("m0")};
    it.controller->request_load(engine_case::target("m2"), 1500ms, it.now);
    // m0 has another replica, m1 has none and may not be evicted yet.
    auto early = it.decide();
    CHECK(early.action == step_kind::none);
    it.now += 2s;
    it.use("m0", 40, 20);
    it.use("m1", 1, 1);
    it.controller->request_load(engine_case::target("m2"), 3500ms, it.now);
    auto unload = it.decide();
    REQUIRE(unload.action == step_kind::order);
    CHECK(unload.order.model == model_id("m1"));
}

TEST_CASE("An unload that is slow is expected to take as long again")
{
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.controller->request_load(engine_case::target("m2"), 50ms, it.now);
    auto unload = it.decide();
    REQUIRE(unload.order.model == model_id("m1"));
    it.respond(unload, order_response::accepted);

    auto early = it.controller->placement(it.spec, it.now);
    CHECK(early.next_load_at < it.now + 2s);
    it.now += 4s;
    auto late = it.controller->placement(it.spec, it.now);
    CHECK(late.next_load_at >= it.now + 4s);
}

TEST_CASE("A burst of load requests for one model on many servers becomes one load")
{
    engine_case it;
    it.controller->request_load(engine_case::target("m2"), 50ms, it.now);
    it.held_elsewhere = {model_id("m2")};
    CHECK(it.decide().action == step_kind::none);
}

TEST_CASE("Loads from the weight store stay within this host's share of its rate")
{
    engine_case it;
    it.store_loads = 0;
    it.entry.models = {{model_id("m0"), {}}};
    it.controller.emplace(it.entry, engine_controller_options{}, it.now);
    it.controller->adopt(
        residency_report{
            .models = it.entry.models, .busy = false, .orders_accepted = 0, .start_time_ms = 0},
        it.now);
    it.controller->request_load(engine_case::target("m3"), 0ms, it.now);
    CHECK(it.decide().action == step_kind::none);
    it.store_loads = 1;
    it.now += 200ms;
    it.controller->request_load(engine_case::target("m3"), 0ms, it.now);
    CHECK(it.decide().order.model == model_id("m3"));
}

TEST_CASE("Nothing is evicted for a model that the weight store cannot deliver now")
{
    // A cold fleet: one rare model after another is requested, and the store loads few at once.
    engine_case it;
    it.use("m0", 0, 8);
    it.use("m1", 0, 1);
    it.store_loads = 0;
    it.controller->request_load(engine_case::target("m3"), 50ms, it.now);
    CHECK(it.decide().action == step_kind::none);
    CHECK(it.controller->placement(it.spec, it.now).models.size() == 2);

    SECTION("its models go on loading adapters")
    {
        it.controller->request_load(engine_case::target("m0", "a"), 0ms, it.now);
        it.now += 50ms;
        auto load = it.decide();
        REQUIRE(load.action == step_kind::order);
        CHECK(load.order.adapter == adapter_id("a"));
    }
    SECTION("a model on its disk is loaded instead")
    {
        it.controller->request_load(engine_case::target("m2"), 0ms, it.now);
        it.now += 50ms;
        auto unload = it.decide();
        REQUIRE(unload.action == step_kind::order);
        it.respond(unload, order_response::accepted);
        it.now += 50ms;
        auto load = it.decide();
        REQUIRE(load.action == step_kind::order);
        CHECK(load.order.model == model_id("m2"));
    }
    SECTION("with a load to be had it makes room and keeps that load for the model")
    {
        it.store_loads = 1;
        it.now += 200ms;
        auto unload = it.decide();
        REQUIRE(unload.action == step_kind::order);
        CHECK(unload.order.action == load_order::action_kind::unload);
        CHECK(it.store_loads == 0);
        it.respond(unload, order_response::accepted);
        auto load = it.decide();
        REQUIRE(load.action == step_kind::order);
        CHECK(load.order.model == model_id("m3"));
    }
}

TEST_CASE("Adapters are loaded and evicted within their slots")
{
    engine_case it;
    for (const char* adapter : {"a1", "a2"})
    {
        it.controller->request_load(engine_case::target("m0", adapter), 0ms, it.now);
        auto step = it.decide();
        REQUIRE(step.order.action == load_order::action_kind::load);
        it.respond(step, order_response::accepted);
        it.now += 20ms;
    }
    it.controller->record_use(host_id("h"), engine_case::target("m0", "a2"), 1, 1, it.now);

    SECTION("an idle adapter is evicted for the next one")
    {
        it.now += 1s;
        it.controller->record_use(host_id("h"), engine_case::target("m0", "a2"), 1, 1, it.now);
        it.controller->request_load(engine_case::target("m0", "a3"), 0ms, it.now);
        auto step = it.decide();
        CHECK(step.order.action == load_order::action_kind::unload);
        CHECK(step.order.adapter == adapter_id("a1"));
    }
    SECTION("with all adapters in use there is no room, and the placement reports that")
    {
        it.controller->record_use(host_id("h"), engine_case::target("m0", "a1"), 1, 1, it.now);
        it.controller->request_load(engine_case::target("m0", "a3"), 0ms, it.now);
        CHECK(it.decide().action == step_kind::none);
        CHECK_FALSE(it.controller->placement(it.spec, it.now).adapter_room);
    }
}

TEST_CASE("A server that restarts under its id holds no models and its order count is unknown")
{
    engine_case it;
    it.entry.start_time_ms = 5;
    it.entry.models.clear();
    it.controller->update(it.entry, it.now);
    CHECK(it.controller->placement(it.spec, it.now).models.empty());
    CHECK(it.decide().action == step_kind::query_report);
}

TEST_CASE("an adapter that is still in use keeps its slot")
{
    engine_case engine;
    engine.controller->request_load(engine_case::target("m0", "a1"), 0ms, engine.now);
    auto load = engine.decide();
    REQUIRE(load.action == engine_controller::step::action_kind::order);
    engine.respond(load, order_response::accepted);
    engine.now += 50ms;

    SECTION(
        "its unload waits for running requests: no order is sent until a report shows what is held")
    {
        load_order unload{.action = load_order::action_kind::unload,
                          .model = model_id("m0"),
                          .adapter = adapter_id("a1"),
                          .expected_orders = 3};
        engine.controller->handle_response(unload, order_response::accepted, engine.spec,
                                           engine.now);
        engine.controller->request_load(engine_case::target("m1", "a1"), 0ms, engine.now);
        CHECK(engine.decide().action == engine_controller::step::action_kind::none);
        engine.now += 500ms;
        CHECK(engine.decide().action == engine_controller::step::action_kind::query_report);
    }
}
