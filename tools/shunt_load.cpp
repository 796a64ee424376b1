/// \file
/// shunt-load: an open-loop load generator that measures latencies and refusals.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "tools/load_report.hpp"
#include "transport/daemon_main.hpp"

DEFINE_string(workload, "", "INI file with the workload, such as examples/agency/load.ini");
DEFINE_bool(check, false, "check the workload, print every mistake, and exit");
DEFINE_bool(json, false, "print the report as JSON");
DEFINE_int64(seed, -1, "seed of the plan, in place of the workload's own");
DEFINE_int64(duration_s, 0, "length of the run, in place of the workload's own");

namespace
{

using namespace banyanshunt;

void print_progress(const load_progress& it)
{
    fmt::print(stderr, "{} s: sent {} of {}, answered {}, refused {}, lost {}\n",
               it.elapsed.count(), it.sent, it.planned, it.answered, it.refused, it.lost);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "sends a workload and measures it.\n  shunt-load --workload FILE [--check] [--json]");
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto file = settings_file::read(FLAGS_workload);
    workload load = read_workload(file);
    if (!check_settings(file))
    {
        return exit_usage;
    }
    load.seed = FLAGS_seed >= 0 ? FLAGS_seed : load.seed;
    load.duration = FLAGS_duration_s > 0 ? seconds(FLAGS_duration_s) : load.duration;
    if (FLAGS_check)
    {
        return exit_success;
    }
    auto report = make_load_report(load, run_load(load, plan_load(load), print_progress));
    fmt::print("{}", FLAGS_json ? report_json(report) : report_text(report));
    return report.all.lost == 0 ? exit_success : exit_failed;
}
