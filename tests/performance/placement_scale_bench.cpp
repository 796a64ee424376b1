/// \file
/// Measures the time and memory of one domain's placement decisions as the numbers of models and
/// adapters grow.

#include <malloc.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/placement/placement_run.hpp"

DEFINE_uint64(seed, 1, "Seed of the state and the requests");
DEFINE_int32(seconds, 20, "Length of a run, in the test clock's seconds");
DEFINE_int32(servers, 12, "Backend servers");

using namespace banyanshunt;

namespace
{

double mebibytes_used()
{
    constexpr double mebibyte = 1024.0 * 1024.0;
    return static_cast<double>(mallinfo2().uordblks) / mebibyte;
}

void measure(int models, int adapters)
{
    run_options options;
    options.fleet = agency();
    options.fleet.servers = FLAGS_servers;
    options.fleet.models = models;
    options.fleet.adapters = adapters;
    options.scenario = load_scenario::burst;
    options.length = seconds(FLAGS_seconds);
    options.seed = FLAGS_seed;
    double mebibytes_before = mebibytes_used();
    auto run = std::make_unique<placement_run<expected_use_policy>>(options, expected_use_policy());
    auto result = run->run();
    double mebibytes_after = mebibytes_used();
    fmt::print("{:7} {:9} {:11.3f} {:11.3f} {:11.2f} {:5}\n", models, adapters, result.mean_plan_ms,
               result.slowest_plan_ms, mebibytes_after - mebibytes_before,
               result.violations.total());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("seed {}, {} servers in 4 domains, burst of 20 idle models\n", FLAGS_seed,
               FLAGS_servers);
    fmt::print("{:>7} {:>9} {:>11} {:>11} {:>11} {:>5}\n", "models", "adapters", "mean ms",
               "slowest ms", "memory MiB", "viol");
    measure(25, 75);
    measure(100, 1000);
    measure(900, 8000);
    return 0;
}
