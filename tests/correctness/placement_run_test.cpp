/// \file
/// The placement decisions against engines that lose orders, responses and reports, and that
/// restart. Guards against replicas beyond the decided number, overcommitted memory, aborted
/// running requests and dropped requests.

#include <catch2/catch.hpp>

#include "stand_ins/placement/placement_run.hpp"

using namespace banyanshunt;

namespace
{

run_options small_run(std::uint64_t seed)
{
    run_options options;
    options.fleet = agency();
    options.scenario = load_scenario::burst;
    options.length = seconds(60);
    options.seed = seed;
    return options;
}

template <class Policy>
run_result run(const run_options& options)
{
    return placement_run<Policy>(options, Policy()).run();
}

struct fault_case
{
    const char* name;
    fleet_faults faults;
};

const fault_case fault_cases[] = {
    {.name = "none", .faults = {}},
    {.name = "orders lost", .faults = {.order_lost = 300}},
    {.name = "orders delayed", .faults = {.order_delayed = 400}},
    {.name = "responses lost", .faults = {.response_lost = 400}},
    {.name = "reports lost", .faults = {.report_lost = 500}},
    {.name = "engines restart", .faults = {.engine_restart = 30}},
    {.name = "all faults",
     .faults = {.order_lost = 100,
                .order_delayed = 200,
                .response_lost = 200,
                .report_lost = 200,
                .engine_restart = 10}},
};

} // namespace

TEST_CASE("the placement guarantees hold under faults")
{
    for (const auto& it : fault_cases)
    {
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            run_options options = small_run(seed);
            options.faults = it.faults;
            auto result = run<expected_use_policy>(options);
            INFO(it.name << ", seed " << seed);
            CHECK(result.violations.memory == 0);
            CHECK(result.violations.replicas == 0);
            CHECK(result.violations.aborted_requests == 0);
            CHECK(result.dropped == 0);
            CHECK(result.served + result.refused == result.requests);
            CHECK(result.served > 0);
        }
    }
}

TEST_CASE("the placement guarantees hold under every policy")
{
    run_options options = small_run(5);
    options.faults = fault_cases[6].faults;
    CHECK(run<fifo_policy>(options).violations.total() == 0);
    CHECK(run<unordered_eviction_policy>(options).violations.total() == 0);
    CHECK(run<expected_use_policy>(options).violations.total() == 0);
}

TEST_CASE("the checks detect an injected fault")
{
    SECTION("hiding unsettled orders from the planner overcommits memory")
    {
        int violations = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
        {
            run_options options = small_run(seed);
            options.forget_unsettled = true;
            options.faults = {.order_delayed = 700};
            violations += run<expected_use_policy>(options).violations.memory;
        }
        CHECK(violations > 0);
    }
    SECTION("loads without a slot exceed the decided number of replicas")
    {
        run_options options = small_run(1);
        options.ignore_slots = true;
        CHECK(run<expected_use_policy>(options).violations.replicas > 0);
    }
}

TEST_CASE("a request that cannot be served is refused before its deadline")
{
    run_options options = small_run(2);
    options.fleet.deadline = milliseconds(5000);
    options.remote_time = milliseconds(4000);
    auto result = run<expected_use_policy>(options);
    CHECK(result.refused > 0);
    CHECK(result.refused_at_deadline < result.refused);
    CHECK(result.dropped == 0);
}
