#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "coordination/planned_stop.hpp"
#include "coordination/run_times.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{};

run_duration stream_of(std::int64_t output_tokens, milliseconds first, milliseconds rest)
{
    return {.first = first, .rest = rest, .output = tokens(output_tokens)};
}

} // namespace

TEST_CASE("A request's run is estimated by its size and by recent runs")
{
    const service_id engines("engines");
    const service_id desk("desk");
    const model_id busy("busy");
    run_times it({.window = 30s, .max_runs = 3, .min_runs = 2, .reserve = 1});

    SECTION("nothing is known of a service without runs")
    {
        CHECK_FALSE(it.estimate(engines, busy, tokens(100), 1, start));
    }
    SECTION("streams of very different lengths")
    {
        it.record(engines, busy, stream_of(100, 50ms, 500ms), start);
        it.record(engines, busy, stream_of(1000, 40ms, 6s), start + 1s);

        SECTION("the slowest of them counts, scaled to the size of the request")
        {
            CHECK(it.estimate(engines, busy, tokens(500), 1, start + 1s) == 3040ms);
        }
        SECTION("runs that state the same limit count by what they took")
        {
            CHECK(it.estimate(engines, busy, tokens(1000), 1, start + 1s) == 6040ms);
        }
        SECTION("a request without a size may be as long as the longest")
        {
            CHECK(it.estimate(engines, busy, tokens(0), 1, start + 1s) == 6040ms);
        }
        SECTION("old runs no longer count, nor do those beyond the number kept")
        {
            CHECK_FALSE(it.estimate(engines, busy, tokens(1000), 1, start + 32s));
            for (int n = 0; n < 3; ++n)
            {
                it.record(engines, busy, stream_of(100, 10ms, 200ms), start + 2s);
            }
            CHECK(it.estimate(engines, busy, tokens(1000), 1, start + 2s) == 2010ms);
        }
        SECTION("a model with few runs is taken to be as slow as the others of its service")
        {
            const model_id rare("rare");
            it.record(engines, rare, stream_of(1000, 10ms, 100ms), start + 1s);
            CHECK(it.estimate(engines, rare, tokens(1000), 1, start + 1s) == 6040ms);
            it.record(engines, rare, stream_of(1000, 10ms, 200ms), start + 1s);
            CHECK(it.estimate(engines, rare, tokens(1000), 1, start + 1s) == 210ms);
        }
        SECTION("another service's runs say nothing")
        {
            CHECK_FALSE(it.estimate(desk, model_id(), tokens(0), 1, start + 1s));
        }
    }
    SECTION("an estimate may leave out the longest runs")
    {
        run_times all({.window = 30s, .max_runs = 10, .min_runs = 1, .reserve = 1});
        for (int n = 1; n <= 10; ++n)
        {
            all.record(engines, busy, stream_of(100, 0ms, n * 100ms), start);
        }
        CHECK(all.estimate(engines, busy, tokens(100), 0.9, start) == 900ms);
        CHECK(all.estimate(engines, busy, tokens(100), 1, start) == 1000ms);
    }
    SECTION("many short runs do not push a long one out of the window")
    {
        run_times usual(run_times_options{});
        usual.record(engines, busy, stream_of(950, 100ms, 6s), start);
        for (int n = 0; n < 200; ++n)
        {
            usual.record(engines, busy, stream_of(950, 20ms, 2s), start + n * 100ms);
        }
        CHECK(usual.estimate(engines, busy, tokens(950), 1, start + 20s) >= 6100ms);
    }
    SECTION("responses of a plain service")
    {
        it.record(desk, model_id(), {.first = 90ms, .rest = 2ms, .output = {}}, start);
        CHECK(it.estimate(desk, model_id(), tokens(0), 1, start) == 92ms);
    }
    SECTION("a request may take longer than the longest before it")
    {
        run_times with_reserve({.window = 30s, .max_runs = 3, .min_runs = 1, .reserve = 1.25});
        with_reserve.record(engines, busy, stream_of(100, 0ms, 1s), start);
        CHECK(with_reserve.estimate(engines, busy, tokens(200), 1, start) == 2500ms);
    }
}

TEST_CASE("Runs of models that nobody requests any more are not kept for good")
{
    run_times it({.window = 30s, .max_runs = 512, .min_runs = 1, .reserve = 1});
    constexpr int per_window = 30;
    std::size_t most_models = 0;
    std::size_t most_services = 0;
    for (int n = 0; n < 100 * per_window; ++n)
    {
        auto name = std::to_string(n);
        it.record(service_id(name), model_id(name), stream_of(100, 50ms, 500ms), start + n * 1s);
        most_models = std::max(most_models, it.count_models());
        most_services = std::max(most_services, it.count_services());
    }
    CHECK(most_models <= 2 * per_window);
    CHECK(most_services <= 2 * per_window);
    // What lies within the window counts as before.
    auto now = start + (100 * per_window - 1) * 1s;
    for (int n = 71; n <= 99; ++n)
    {
        model_id recent(std::to_string(100 * per_window - 100 + n));
        CHECK(it.estimate(service_id("none"), recent, tokens(100), 1, now) == 550ms);
    }
}

TEST_CASE("A stopping host begins only what can end before it does")
{
    planned_stop stop(
        {.requested_at = start, .grace = 8s, .margin = 400ms, .balancer_delay = 2600ms});
    REQUIRE(stop.deadline() == start + 7600ms);

    SECTION("until the balancer has noticed the stop, what probably ends in time")
    {
        CHECK(stop.latest_start(5500ms, start + 15s) == start + 2100ms);
    }
    SECTION("later, nothing by an estimate, however short")
    {
        for (auto estimate : {100ms, 1000ms, 4999ms})
        {
            CHECK(stop.latest_start(estimate, start + 15s) == start + 2600ms);
        }
    }
    SECTION("a run longer than the grace period never begins")
    {
        CHECK(stop.latest_start(9s, start + 15s) < start);
    }
    SECTION("a request whose own deadline comes first gets its response in any case")
    {
        CHECK(stop.latest_start(9s, start + 5s) == start + 5s);
        CHECK(stop.latest_start({}, start + 5s) == start + 5s);
    }
    SECTION("a run of unknown length may last until the request's deadline")
    {
        CHECK(stop.latest_start({}, start + 15s) < start);
    }
}
