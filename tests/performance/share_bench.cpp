/// \file
/// Measures the requests refused although the fleet was within rate, the worst-served workspace,
/// and the messages between hosts, for owned shares, fixed equal shares and a central host, under a
/// test clock.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "stand_ins/share_trial.hpp"

DEFINE_uint64(seed, 1, "seed of the arrivals and the links");
DEFINE_int32(seconds, 30, "length of each trial, after its start");

using namespace banyanshunt;

namespace
{

constexpr double percent = 100;

void print_row(const char* scenario, share_policy policy, double load, const trial_result& it)
{
    fmt::print("{:<22} {:<8} {:>5.2f} {:>9} {:>9} {:>11.3f} {:>11.3f} {:>9.1f} {:>9.1f} {:>6}\n",
               scenario, to_string(policy), load, it.requests, it.refused,
               percent * it.refused_within_rate_ratio(), percent * it.worst_within_rate_ratio(),
               percent * it.worst_served_ratio(), it.longest_wait_ms, it.over_grants);
}

void compare(const char* scenario, trial_options options)
{
    options.seed = FLAGS_seed;
    options.length = seconds(FLAGS_seconds);
    for (double load : {0.8, 0.95, 1.2})
    {
        for (auto policy : {share_policy::owned, share_policy::fixed, share_policy::centralized})
        {
            options.load = load;
            options.policy = policy;
            print_row(scenario, policy, load, run_trial(options));
        }
    }
}

void measure_messages()
{
    fmt::print("\n{:>6} {:>11} {:>16} {:>16}\n", "hosts", "workspaces", "messages/s/host",
               "bytes/s/host");
    for (int hosts : {4, 8, 16, 32})
    {
        for (int workspaces : {5, 20})
        {
            trial_options options;
            options.seed = FLAGS_seed;
            options.length = seconds(5);
            options.hosts_in_domain = std::vector<int>(4, hosts / 4);
            options.workspaces = workspaces;
            options.skew_percent = 90;
            auto it = run_trial(options);
            fmt::print("{:>6} {:>11} {:>16.1f} {:>16.0f}\n", hosts, workspaces,
                       it.messages_per_host_second, it.bytes_per_host_second);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the policies for shares under a test clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print("{:<22} {:<8} {:>5} {:>9} {:>9} {:>11} {:>11} {:>9} {:>9} {:>6}\n", "scenario",
               "policy", "load", "requests", "refused", "in-rate %", "worst ws %", "served %",
               "wait ms", "over");
    compare("even", {});
    compare("90 % on one host", {.skew_percent = 90});
    compare("one at 5x, even", {.greedy_factor = 5});
    compare("one at 5x, 90 %", {.skew_percent = 90, .greedy_factor = 5});
    compare("one domain cut, even", {.cut_domain = true});
    compare("one domain cut, 90 %", {.skew_percent = 90, .cut_domain = true});
    compare("1 % lost, 90 %", {.skew_percent = 90, .lost_permille = 10});
    measure_messages();
    return 0;
}
