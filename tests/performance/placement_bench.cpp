/// \file
/// Compares the placement policies on the same requests, for both deployments and all scenarios.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/placement/placement_run.hpp"

DEFINE_uint64(seed, 7, "First seed; each trial takes the next one");
DEFINE_int32(trials, 3, "Trials of each row; latencies are of all trials together");
DEFINE_int32(seconds, 600, "Length of a trial, in the test clock's seconds");
DEFINE_int32(remote_ms, 4000, "Time of one load from the weight store at full speed");
DEFINE_string(only, "", "Measures only the scenario of this name");
DEFINE_int32(keep_unknown_ms, 60000, "Keep-alive of expected use while the gap is unknown");
DEFINE_int32(gaps_kept, 3, "Mean gaps for which expected use keeps a replica");
DEFINE_int32(keep_most_ms, 90000, "Longest keep-alive of expected use");

using namespace banyanshunt;

namespace
{

void add(run_result& sum, const run_result& it)
{
    sum.cold_seconds.insert(sum.cold_seconds.end(), it.cold_seconds.begin(), it.cold_seconds.end());
    sum.idle_hours += it.idle_hours;
    sum.requests += it.requests;
    sum.cold += it.cold;
    sum.served += it.served;
    sum.refused += it.refused;
    sum.refused_at_deadline += it.refused_at_deadline;
    sum.dropped += it.dropped;
    sum.loads += it.loads;
    sum.wasted += it.wasted;
    sum.violations.memory += it.violations.memory;
    sum.violations.replicas += it.violations.replicas;
    sum.violations.aborted_requests += it.violations.aborted_requests;
}

template <class Policy>
void measure(const char* name, run_options options, const Policy& policy)
{
    run_result sum;
    for (int trial = 0; trial < FLAGS_trials; ++trial)
    {
        options.seed = FLAGS_seed + static_cast<std::uint64_t>(trial);
        add(sum, placement_run<Policy>(options, policy).run());
    }
    fmt::print("{:9} {:11} {:18} {:6} {:5} {:6.2f} {:6.2f} {:6.2f} {:7.3f} {:5} {:6} {:7} {:5} "
               "{:4} {:4}\n",
               options.fleet.name, to_string(options.scenario), name, sum.requests, sum.cold,
               sum.percentile(0.5), sum.percentile(0.99), sum.percentile(1.0), sum.idle_hours,
               sum.loads, sum.wasted, sum.refused, sum.refused_at_deadline, sum.dropped,
               sum.violations.total());
}

// The last two rows separate the effect of claiming slots by cached checkpoint from that of the
// policy itself.
void measure_all(run_options options)
{
    expected_use_policy chosen({.gaps_kept = FLAGS_gaps_kept,
                                .max_keep_alive = milliseconds(FLAGS_keep_most_ms),
                                .default_keep_alive = milliseconds(FLAGS_keep_unknown_ms)});
    options.claim_by_cache = false;
    measure("first come", options, fifo_policy());
    measure("unordered eviction", options, unordered_eviction_policy());
    options.claim_by_cache = true;
    measure("expected use", options, chosen);
    measure("  first, cached", options, fifo_policy());
    options.claim_by_cache = false;
    measure("  use, not cached", options, chosen);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("seeds {} to {}, {} s each, {} ms for one load from the store\n", FLAGS_seed,
               FLAGS_seed + static_cast<std::uint64_t>(FLAGS_trials) - 1, FLAGS_seconds,
               FLAGS_remote_ms);
    fmt::print("{:9} {:11} {:18} {:>6} {:>5} {:>6} {:>6} {:>6} {:>7} {:>5} {:>6} {:>7} {:>5} "
               "{:>4} {:>4}\n",
               "users", "scenario", "policy", "reqs", "cold", "p50 s", "p99 s", "max s", "idle h",
               "loads", "wasted", "refused", "late", "drop", "viol");
    for (const auto& fleet : {agency(), chautari()})
    {
        for (auto scenario : {load_scenario::steady, load_scenario::burst,
                              load_scenario::slow_store, load_scenario::lost_server})
        {
            if (!FLAGS_only.empty() && FLAGS_only != to_string(scenario))
            {
                continue;
            }
            measure_all({.fleet = fleet,
                         .scenario = scenario,
                         .length = seconds(FLAGS_seconds),
                         .remote_time = milliseconds(FLAGS_remote_ms)});
        }
    }
    return 0;
}
