/// \file
/// Several placers over one log: takeover after a crash or a pause, lost claim responses, an
/// unreachable log, a partitioned domain, tickets that change models, and the placement guarantees
/// under random faults. Guards against replicas beyond the decided number, overcommitted memory,
/// and orders that take effect after those of a later lease holder.

#include <random>

#include <catch2/catch.hpp>

#include "stand_ins/placement/placer_group.hpp"

using namespace banyanshunt;

namespace
{

using fencing = placer_group_options::fencing;
const model_id model("model-0");

// Returns the index of the placer that holds the domain's leases, or -1 if neither does.
int holder_of(placer_group& group, int domain)
{
    for (int index = 0; index < 2; ++index)
    {
        placer_member* it = group.member(domain, index);
        if (it && it->placer.holder() == host_id(it->name))
        {
            return index;
        }
    }
    return -1;
}

// Runs until the engines have carried out another order.
void run_to_next_order(placer_group& group, int limit)
{
    int before = group.engines.orders();
    for (int n = 0; n < limit && group.engines.orders() == before; ++n)
    {
        group.step();
    }
}

fleet_state_ptr with_model(const fleet_state& from, const model_id& id, model_object object)
{
    auto state = std::make_shared<fleet_state>(from);
    state->models[id] = std::make_shared<const state_entry<model_object>>(state_entry<model_object>{
        .ticket = ticket_number(2), .offset = log_offset(1), .value = std::move(object)});
    return state;
}

} // namespace

TEST_CASE("a demand leads to one replica")
{
    for (auto checks : {fencing::all, fencing::none})
    {
        placer_group group({.domains = 2, .fencing_checks = checks});
        group.run_steps(20);
        group.add_demand(model);
        group.run_steps(40);
        CHECK(group.engines.replicas_of(model) == 1);

        SECTION("the replica stays while there is demand and is unloaded afterwards")
        {
            group.run_steps(700);
            CHECK(group.engines.replicas_of(model) == 1);
            group.clear_demand();
            group.run_steps(900);
            CHECK(group.engines.replicas_of(model) == 0);
        }
    }
}

TEST_CASE("another placer takes over from one that crashed")
{
    for (auto checks : {fencing::all, fencing::none})
    {
        placer_group group({.domains = 1, .fencing_checks = checks});
        group.run_steps(20);
        int first = holder_of(group, 0);
        REQUIRE(first >= 0);
        group.stop(0, first);
        group.add_demand(model);
        group.run_steps(100);
        CHECK(group.engines.replicas_of(model) == 1);
        CHECK(group.engines.stale_orders() == 0);
    }
}

TEST_CASE("a planned stop releases the leases without a takeover delay")
{
    placer_group group({.domains = 1, .fencing_checks = fencing::none});
    group.run_steps(20);
    int first = holder_of(group, 0);
    REQUIRE(first >= 0);
    group.member(0, first)->placer.release();
    group.stop(0, first);
    group.add_demand(model);
    group.run_steps(20);
    CHECK(group.engines.replicas_of(model) == 1);
    CHECK(group.engines.stale_orders() == 0);
}

TEST_CASE("a holder that was paused past its lease sends no order")
{
    for (auto checks : {fencing::all, fencing::none})
    {
        placer_group group({.domains = 1, .fencing_checks = checks});
        group.run_steps(20);
        int first = holder_of(group, 0);
        REQUIRE(first >= 0);
        group.pause(0, first, seconds(10));
        group.run_steps(90);
        group.add_demand(model);
        group.run_steps(100);
        CHECK(group.engines.replicas_of(model) == 1);
        CHECK(group.engines.stale_orders() == 0);
        CHECK(holder_of(group, 0) == 1 - first);
    }
}

TEST_CASE("a claim whose response is lost is settled by reading the log")
{
    placer_group group({.domains = 1, .links = {.response_lost = 1000}});
    group.add_demand(model);
    group.run_steps(100);
    CHECK(group.engines.replicas_of(model) == 1);
    // One claim for each server: none was repeated although no response arrived.
    auto claims = group.log.read(stream_name("leases.domain-0"), log_offset(0), 100, {});
    REQUIRE(claims);
    CHECK(claims->records.size() == 2);
}

TEST_CASE("while the log is unreachable")
{
    SECTION("loads under owned slots continue on engines that check fencing numbers")
    {
        placer_group group({.domains = 1, .fencing_checks = fencing::all});
        group.run_steps(30);
        group.log.set_down(true);
        group.run_steps(100);
        group.add_demand(model);
        group.run_steps(40);
        CHECK(group.engines.replicas_of(model) == 1);
    }
    SECTION("loads wait on engines that ignore fencing numbers until the log is reachable again")
    {
        placer_group group({.domains = 1, .fencing_checks = fencing::none});
        group.run_steps(30);
        group.log.set_down(true);
        group.run_steps(100);
        group.add_demand(model);
        group.run_steps(40);
        CHECK(group.engines.replicas_of(model) == 0);
        group.log.set_down(false);
        group.run_steps(40);
        CHECK(group.engines.replicas_of(model) == 1);
    }
}

TEST_CASE("a domain that is partitioned from the log loads models under its own slots")
{
    placer_group group({.domains = 2, .fencing_checks = fencing::all});
    group.run_steps(30);
    for (int index = 0; index < 2; ++index)
    {
        group.member(0, index)->link.set_partitioned(true);
    }
    for (const auto& [id, entry] : group.state().models)
    {
        group.add_demand(id);
    }
    int max_excess = 0;
    for (int n = 0; n < 300; ++n)
    {
        group.step();
        max_excess = std::max(max_excess, group.excess());
    }
    CHECK(max_excess == 0);
    int loaded = 0;
    for (const auto& [id, entry] : group.state().models)
    {
        loaded += group.engines.replicas_of(id);
    }
    CHECK(loaded == 4);
}

TEST_CASE(
    "the orders of two holders reach an engine that ignores fencing numbers a lease apart (ONE)")
{
    placer_group_options options{
        .domains = 1, .servers_in_domain = 1, .fencing_checks = fencing::none};
    const auto lease = lease_manager_options().lease_duration;

    SECTION("the earlier holder's order is under way")
    {
        // The holder's order has no response and takes effect after `delay`.
        auto order_late = [](placer_group& group, milliseconds delay)
        {
            group.run_steps(20);
            int first = holder_of(group, 0);
            REQUIRE(first >= 0);
            group.engines.set_order_delay(delay);
            group.add_demand(model);
            group.run_steps(1);
            group.engines.set_order_delay({});
            return first;
        };
        auto release = [](placer_group& group, int holder)
        {
            group.member(0, holder)->placer.release();
            group.stop(0, holder);
            group.add_demand(model_id("model-1"));
            group.run_steps(200);
            CHECK(group.engines.orders() >= 2);
        };
        SECTION("when the log was unreachable and the holder stops as planned")
        {
            options.assumed_order_delay = milliseconds(10'000);
            placer_group group(options);
            int first = order_late(group, milliseconds(5000));
            group.log.set_down(true);
            group.run_steps(35);
            group.log.set_down(false);
            group.run_steps(2);
            release(group, first);
            CHECK(group.engines.stale_orders() == 0);
            CHECK(group.engines.closest_holders() >= lease);
        }
        SECTION("when the holder has renewed its claim and stops as planned")
        {
            options.renew_interval = milliseconds(2200);
            placer_group group(options);
            int first = order_late(group, milliseconds(1900));
            group.run_steps(5);
            release(group, first);
            CHECK(group.engines.stale_orders() == 0);
            CHECK(group.engines.closest_holders() >= lease);
        }
        SECTION("for as long as the platform says, when the holder crashes")
        {
            options.assumed_order_delay.reset();
            placer_group group(options);
            int first = order_late(group, milliseconds(12'000));
            group.stop(0, first);
            group.add_demand(model_id("model-1"));
            group.run_steps(300);
            CHECK(group.engines.orders() >= 2);
            CHECK(group.engines.stale_orders() == 0);
            CHECK(group.engines.closest_holders() >= lease);
        }
    }
    SECTION("the holder stops as planned right after an order")
    {
        placer_group group(options);
        group.run_steps(20);
        int first = holder_of(group, 0);
        REQUIRE(first >= 0);
        group.add_demand(model);
        run_to_next_order(group, 20);
        group.run_steps(1);
        group.member(0, first)->placer.release();
        group.stop(0, first);
        group.add_demand(model_id("model-1"));
        group.run_steps(45);
        CHECK(group.engines.orders() == 2);
        CHECK(group.engines.closest_holders() >= lease);
    }
    SECTION("a holder that the log no longer reaches orders until its lease ends")
    {
        placer_group group(options);
        group.run_steps(20);
        int first = holder_of(group, 0);
        REQUIRE(first >= 0);
        group.member(0, first)->link.set_partitioned(true);
        group.member(0, first)->unlisted = true;
        group.run_steps(28);
        group.engines.set_order_delay(milliseconds(1900));
        group.add_demand(model);
        group.run_steps(1);
        group.engines.set_order_delay({});
        group.add_demand(model_id("model-1"));
        group.run_steps(100);
        CHECK(group.engines.orders() >= 2);
        CHECK(group.engines.stale_orders() == 0);
        CHECK(group.engines.closest_holders() >= lease);
    }
    SECTION("an engine that was stalled reads the earlier order as it resumes")
    {
        placer_group group(options);
        group.run_steps(20);
        int first = holder_of(group, 0);
        REQUIRE(first >= 0);
        group.engines.stall_at_order("engine-0");
        group.add_demand(model);
        group.run_steps(1);
        group.stop(0, first);
        group.run_steps(200);
        group.engines.resume("engine-0");
        group.add_demand(model_id("model-1"));
        group.run_steps(60);
        CHECK(group.engines.orders() >= 2);
        CHECK(group.engines.closest_holders() >= lease);
    }
}

TEST_CASE("an engine that a ticket moves to another domain has one holder at a time (ONE)")
{
    placer_group group({.domains = 2, .servers_in_domain = 1, .fencing_checks = fencing::none});
    group.run_steps(20);
    auto state = std::make_shared<fleet_state>(group.state());
    server_object moved = *find_object(state->servers, server_id("server-0"));
    moved.domain = domain_id("domain-1");
    state->servers[server_id("server-0")] =
        std::make_shared<const state_entry<server_object>>(state_entry<server_object>{
            .ticket = ticket_number(2), .offset = log_offset(1), .value = moved});
    group.set_state(state);
    for (const auto& [id, entry] : group.state().models)
    {
        group.add_demand(id);
    }
    group.run_steps(200);
    CHECK(group.engines.orders() >= 2);
    CHECK(group.engines.stale_orders() == 0);
    CHECK(group.engines.closest_holders() >= lease_manager_options().lease_duration);
}

TEST_CASE("a model is loaded again at once on an engine that restarted during the load")
{
    placer_group group({.domains = 1,
                        .servers_in_domain = 1,
                        .fencing_checks = fencing::none,
                        .assumed_order_delay = {}});
    group.run_steps(20);
    group.add_demand(model);
    run_to_next_order(group, 20);
    REQUIRE(group.engines.replicas_of(model) == 1);
    group.engines.stop("engine-0");
    group.engines.add("engine-0", mebibytes(40), false);
    group.run_steps(20);
    CHECK(group.engines.replicas_of(model) == 1);
}

TEST_CASE("what the engines serve stays published while no orders may be given")
{
    placer_group group({.domains = 1, .fencing_checks = fencing::none});
    group.add_demand(model);
    group.run_steps(40);
    int first = holder_of(group, 0);
    REQUIRE(first >= 0);
    auto published = [&](int index)
    {
        const auto& engines = group.member(0, index)->last_step.engines;
        return std::count_if(engines.begin(), engines.end(),
                             [](const placed_engine& it)
                             { return find_replica(it.report, model) != nullptr; });
    };
    REQUIRE(published(first) == 1);
    SECTION("as the log is unreachable")
    {
        group.log.set_down(true);
        group.run_steps(60);
        CHECK(published(first) == 1);
    }
    SECTION("as a new holder waits")
    {
        group.stop(0, first);
        group.run_steps(5);
        CHECK(published(1 - first) == 1);
    }
}

TEST_CASE("a ticket that changes a version reloads one slot after the other")
{
    placer_group group({.domains = 1, .replicas = 2, .fencing_checks = fencing::all});
    group.run_steps(30);
    group.add_demand(model);
    group.run_steps(60);
    REQUIRE(group.engines.replicas_of(model) >= 1);
    group.clear_demand();
    model_object changed = *find_object(group.state().models, model);
    changed.version = version_id("v2");
    group.set_state(with_model(group.state(), model, changed));
    int max_excess = 0;
    for (int n = 0; n < 300; ++n)
    {
        group.step();
        max_excess = std::max(max_excess, group.excess());
    }
    CHECK(max_excess == 0);
    auto report = group.engines.read_back("engine-0");
    auto other = group.engines.read_back("engine-1");
    for (const auto* it : {&*report, &*other})
    {
        const held_replica* held = find_replica(*it, model);
        CHECK((!held || held->version == version_id("v2")));
    }
}

TEST_CASE("a ticket that lowers the number of replicas unloads the surplus")
{
    placer_group group({.domains = 2, .replicas = 2, .fencing_checks = fencing::all});
    group.run_steps(30);
    group.add_demand(model);
    group.run_steps(100);
    REQUIRE(group.engines.replicas_of(model) >= 1);
    model_object changed = *find_object(group.state().models, model);
    changed.max_replicas = 0;
    group.set_state(with_model(group.state(), model, changed));
    group.run_steps(40);
    CHECK(group.engines.replicas_of(model) == 0);
}

TEST_CASE("the placement guarantees hold under random faults of log, engines and placers")
{
    int loads = 0;
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        placer_group group(
            {.domains = 2,
             .models = 6,
             .links =
                 {.append_lost = 50, .response_lost = 50, .append_delayed = 100, .read_lost = 100},
             .orders = {.lost = 50, .delayed = 100, .response_lost = 50, .report_lost = 50},
             .seed = seed});
        std::mt19937_64 random(seed);
        int excess = 0;
        for (int n = 0; n < 1500; ++n)
        {
            int domain = static_cast<int>(random() % 2);
            int index = static_cast<int>(random() % 2);
            switch (random() % 120)
            {
            case 0:
                group.stop(domain, index);
                break;
            case 1:
            case 2:
                group.start(domain, index);
                break;
            case 3:
                group.pause(domain, index,
                            milliseconds(static_cast<std::int64_t>(random() % 9000)));
                break;
            case 4:
            case 5:
                if (placer_member* it = group.member(domain, index))
                {
                    it->link.set_partitioned(random() % 2 == 0);
                }
                break;
            case 6:
                group.log.set_down(random() % 3 == 0);
                break;
            case 7:
                group.clear_demand();
                break;
            case 8:
            case 9:
            case 10:
                group.add_demand(model_id("model-" + std::to_string(random() % 6)));
                break;
            default:
                break;
            }
            group.step();
            excess += group.excess();
        }
        INFO("seed " << seed);
        CHECK(excess == 0);
        CHECK(group.engines.overcommits() == 0);
        CHECK(group.engines.stale_orders() == 0);
        loads += group.engines.orders();
    }
    // Enough orders took effect for the checks above to mean something.
    CHECK(loads > 100);
}

TEST_CASE("the check for stale orders detects a successor that skips the takeover delay")
{
    int stale = 0;
    for (std::uint64_t seed = 1; seed <= 24; ++seed)
    {
        placer_group group({.domains = 1,
                            .models = 4,
                            .fencing_checks = fencing::none,
                            .orders = {.delayed = 600},
                            .skip_takeover_delay = true,
                            .seed = seed});
        for (int n = 0; n < 400; ++n)
        {
            int holder = holder_of(group, 0);
            if (n % 40 == 20)
            {
                group.add_demand(model_id("model-" + std::to_string(n / 40 % 4)));
            }
            if (n % 40 == 22 && holder >= 0)
            {
                group.stop(0, holder);
                group.add_demand(model_id("model-" + std::to_string((n / 40 + 1) % 4)));
            }
            if (n % 40 == 0)
            {
                group.clear_demand();
                for (int index = 0; index < 2; ++index)
                {
                    if (!group.member(0, index))
                    {
                        group.start(0, index);
                    }
                }
            }
            group.step();
        }
        stale += group.engines.stale_orders();
    }
    CHECK(stale > 0);
}
