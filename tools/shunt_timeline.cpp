/// \file
/// shunt-timeline: shows what led to orders that break the platform's rule, from the logs of entry
/// hosts and the engines' record of orders.

#include <fstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "tools/engine_timeline.hpp"
#include "transport/daemon_main.hpp"

DEFINE_string(record, "", "file with the engines' record of the orders that they received");
DEFINE_string(server, "", "the engine whose whole timeline is printed");
DEFINE_int64(lease_ms, 3000, "the lease by which orders are judged");
DEFINE_uint64(most, 10, "the most pairs of orders that are printed");

namespace
{

using namespace banyanshunt;

std::optional<std::vector<std::string>> read_lines(const std::string& path)
{
    std::ifstream in(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);)
    {
        lines.push_back(line);
    }
    bool failed = !in.is_open() || in.bad();
    if (failed)
    {
        fmt::print(stderr, "{} cannot be read\n", path);
    }
    return failed ? std::nullopt : std::optional(lines);
}

void print_lines(const std::vector<std::string>& lines)
{
    for (const auto& it : lines)
    {
        fmt::print("{}\n", it);
    }
}

/// Returns whether orders were judged and no pair breaks the rule.
bool print_breaches(const order_logs& logs)
{
    auto breaches = judge_engines(logs, std::chrono::milliseconds(FLAGS_lease_ms));
    print_lines(explain_breaches(logs, breaches, FLAGS_most, logs.begun()));
    fmt::print("{} engines, rule broken {} times\n", logs.orders().size(), breaches.size());
    return !logs.orders().empty() && breaches.empty();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "shows what led to orders that break the rule.\n"
        "  shunt-timeline [--record FILE] [--server NAME] [--lease_ms N] [--most N] LOG...");
    gflags::SetVersionString(BANYANSHUNT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2 || (FLAGS_server.empty() && FLAGS_record.empty()) || FLAGS_lease_ms < 0)
    {
        fmt::print(stderr, "{}\n", gflags::ProgramUsage());
        return exit_usage;
    }
    order_logs logs;
    for (int n = 1; n < argc; ++n)
    {
        auto lines = read_lines(argv[n]);
        if (!lines)
        {
            return exit_failed;
        }
        logs.add_host_log(*lines, argv[n]);
    }
    auto record = FLAGS_record.empty() ? std::vector<std::string>() : read_lines(FLAGS_record);
    if (!record)
    {
        return exit_failed;
    }
    logs.add_record(*record);
    fmt::print(stderr, "{} lines skipped\n", logs.skipped());
    if (!FLAGS_server.empty())
    {
        print_lines(format_timeline(logs.timeline(FLAGS_server), logs.begun()));
        return exit_success;
    }
    return print_breaches(logs) ? exit_success : exit_failed;
}
