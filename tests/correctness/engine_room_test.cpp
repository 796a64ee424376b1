// Room on engines whose models differ in size.

#include <random>

#include <catch2/catch.hpp>

#include "coordination/engine_controller.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr double large_mb = 72700;
constexpr double small_mb = 34300;
constexpr double engine_mb = 200000;

engine_spec mixed_spec()
{
    engine_spec spec;
    for (int n = 0; n < 12; ++n)
    {
        model_spec model;
        model.id = model_id("m" + std::to_string(n));
        model.weights_mb = n % 3 == 0 ? small_mb : large_mb;
        model.adapter_mb = 66;
        model.load_from_disk = 800ms;
        model.load_from_memory = 400ms;
        model.load_from_store = 10s;
        spec.models.emplace(model.id, model);
    }
    spec.memory_mb = engine_mb;
    spec.adapter_slots = 8;
    return spec;
}

/// An engine that carries out one order at a time. An unload waits for the model's requests.
class fake_engine
{
public:
    explicit fake_engine(const engine_spec& spec) : spec_(spec) {}

    order_response order(const load_order& it, instant now)
    {
        settle(now);
        if (!it.adapter.empty())
        {
            return order_adapter(it);
        }
        if (busy_until_ > now || it.expected_orders != orders)
        {
            return order_response::conflict;
        }
        ++orders;
        if (it.action == load_order::action_kind::unload)
        {
            unloading_ = it.model;
            busy_until_ = now + unload_time;
        }
        else
        {
            models[it.model];
            busy_until_ = now + spec_.models.at(it.model).load_from_disk;
        }
        overcommitted = overcommitted || used_mb() > spec_.memory_mb;
        return order_response::accepted;
    }
    residency_report report(instant now)
    {
        settle(now);
        return {.models = models,
                .busy = busy_until_ > now,
                .orders_accepted = orders,
                .start_time_ms = 0};
    }
    double used_mb() const
    {
        double sum = 0;
        for (const auto& [id, adapters] : models)
        {
            const auto& model = spec_.models.at(id);
            sum += model.weights_mb + model.adapter_mb * static_cast<double>(adapters.size());
        }
        return sum;
    }

    loaded_models models;
    std::int64_t orders = 0;
    nanoseconds unload_time = 100ms;
    /// Whether an order asked for more than fits; an engine crashes then.
    bool overcommitted = false;

private:
    order_response order_adapter(const load_order& it)
    {
        auto model = models.find(it.model);
        if (model == models.end() || it.model == unloading_ || it.expected_orders != orders)
        {
            return order_response::conflict;
        }
        ++orders;
        if (it.action == load_order::action_kind::unload)
        {
            model->second.erase(it.adapter);
            return order_response::already_done;
        }
        model->second.insert(it.adapter);
        overcommitted = overcommitted || used_mb() > spec_.memory_mb;
        return order_response::accepted;
    }
    void settle(instant now)
    {
        if (unloading_ && busy_until_ <= now)
        {
            models.erase(*unloading_);
            unloading_.reset();
        }
    }

    const engine_spec& spec_;
    std::optional<model_id> unloading_;
    instant busy_until_;
};

/// An engine, and the controller that orders it.
class room_case
{
public:
    explicit room_case(const std::vector<const char*>& held)
    {
        entry.id = server_id("i-1");
        for (const char* id : held)
        {
            entry.models[model_id(id)];
        }
        for (const auto& [id, model] : spec.models)
        {
            entry.on_disk.insert(id);
        }
        engine.models = entry.models;
        controller.emplace(entry, engine_controller_options{}, now);
        controller->adopt(engine.report(now), now);
        now += 1s;
    }

    void step()
    {
        auto next =
            controller->decide(spec,
                               {.count_other_replicas = [](const model_id&) { return 0; },
                                .available_elsewhere = [](const model_target&) { return false; },
                                .acquire_store_load = [] { return true; }},
                               now);
        if (next.action == engine_controller::step::action_kind::query_report)
        {
            controller->adopt(engine.report(now), now);
        }
        else if (next.action == engine_controller::step::action_kind::order)
        {
            controller->handle_response(next.order, engine.order(next.order, now), spec, now);
        }
        now += 20ms;
    }
    void request(const char* model, const char* adapter = "")
    {
        controller->request_load({.model = model_id(model), .adapter = adapter_id(adapter)},
                                 milliseconds(50), now);
    }
    void use(const char* model, int running, int requests)
    {
        controller->record_use(host_id("h"), {.model = model_id(model), .adapter = {}}, running,
                               requests, now);
    }
    /// Repeats a load request as a waiting request does; returns whether the engine held it in
    /// time.
    bool load_within(const char* model, nanoseconds limit)
    {
        for (instant until = now + limit; now < until;)
        {
            request(model);
            step();
            if (engine.models.contains(model_id(model)))
            {
                return true;
            }
        }
        return false;
    }

    engine_spec spec = mixed_spec();
    fake_engine engine{spec};
    backend_entry entry;
    instant now{std::chrono::hours(1)};
    std::optional<engine_controller> controller;
};

} // namespace

// Guards against engines that crash with all their requests because the model that is loaded is
// larger than the one that was unloaded for it.
TEST_CASE("a model is loaded only into room that the engine has")
{
    SECTION("one small model makes no room for a large one: enough is unloaded first")
    {
        room_case it({"m0", "m1", "m2"});
        it.use("m1", 0, 9);
        it.use("m2", 0, 9);
        CHECK(it.load_within("m4", 5s));
        CHECK_FALSE(it.engine.overcommitted);
    }
    SECTION("several small models make room together")
    {
        room_case it({"m0", "m3", "m6", "m9"});
        for (const char* id : {"m3", "m6", "m9"})
        {
            it.use(id, 0, 3);
        }
        REQUIRE(it.load_within("m1", 5s));
        CHECK(it.load_within("m2", 5s));
        CHECK_FALSE(it.engine.overcommitted);
    }
    SECTION("a request for another, larger model during the unload is not loaded in its place")
    {
        room_case it({"m0", "m1", "m2"});
        it.use("m1", 0, 9);
        it.use("m2", 0, 9);
        it.engine.unload_time = 600ms;
        it.request("m3");
        it.step();
        it.now += 950ms;
        CHECK(it.load_within("m5", 5s));
        CHECK_FALSE(it.engine.overcommitted);
    }
    SECTION("no order of random requests, uses and slow unloads passes the engine's memory")
    {
        for (unsigned seed = 1; seed <= 60; ++seed)
        {
            std::mt19937 random(seed);
            auto draw = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
            room_case it({"m0", "m1", "m2"});
            for (int n = 0; n < 1500; ++n)
            {
                std::string model = "m" + std::to_string(draw(12));
                std::string adapter = draw(3) == 0 ? "a" + std::to_string(draw(5)) : "";
                if (draw(3) == 0)
                {
                    it.request(model.c_str(), adapter.c_str());
                }
                else if (draw(2) == 0)
                {
                    it.controller->record_use(
                        host_id("h"), {.model = model_id(model), .adapter = adapter_id(adapter)},
                        draw(2), draw(4), it.now);
                }
                it.engine.unload_time = milliseconds(20 * draw(40));
                it.step();
            }
            INFO("seed " << seed);
            REQUIRE_FALSE(it.engine.overcommitted);
        }
    }
    SECTION("adapters wait for a report where nothing is to follow an unload")
    {
        room_case it({"m0", "m1", "m3", "m6"});
        it.use("m1", 0, 9);
        // The first of two unloads; the request leaves before the second.
        it.request("m4");
        it.step();
        it.now += 1s;
        for (int n = 0; n < 100; ++n)
        {
            it.request("m1", "a");
            it.step();
        }
        CHECK(it.engine.models.at(model_id("m1")).contains(adapter_id("a")));
        CHECK_FALSE(it.engine.overcommitted);
    }
    SECTION("an engine whose callers have left is not held back by an unload")
    {
        room_case it({"m0", "m1", "m2"});
        it.use("m1", 3, 9);
        it.use("m2", 3, 9);
        it.request("m4");
        it.step();
        it.now += 3s;
        CHECK(it.load_within("m3", 5s));
        CHECK_FALSE(it.engine.overcommitted);
    }
}
