#pragma once

/// \file
/// Defines the report of a load run: percentiles for each stream and the four measures that the
/// deployments weigh.

#include <array>
#include <map>
#include <string>

#include "tools/latency_histogram.hpp"
#include "tools/load_run.hpp"
#include "tools/rate_audit.hpp"

namespace banyanshunt
{

/// Counts of one stream's or one workspace's requests.
struct outcome_counts
{
    std::int64_t requested = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    /// No answer, or one that broke off: the caller cannot tell what happened.
    std::int64_t lost = 0;
    /// From the intended time to the first token, of answered requests.
    latency_histogram first_token;
    std::map<std::string, std::int64_t> reasons;

    void add(const load_outcome& outcome);
};

/// The worst-served workspace: the one with the lowest part answered within its deadline.
struct worst_served
{
    workspace_id workspace;
    double in_time_ratio = 1;
};

struct run_report
{
    nanoseconds elapsed{0};
    outcome_counts all;
    std::map<std::string, outcome_counts> streams;
    std::map<workspace_id, outcome_counts> workspaces;
    std::map<workspace_id, rate_audit> rates;
    worst_served worst;
    std::optional<nanoseconds> idle_accelerator_time;

    std::int64_t refused_within_rate() const;
};

run_report make_load_report(const workload& load, const load_result& result);

/// The report for people.
std::string report_text(const run_report& report);
/// The report for programs.
std::string report_json(const run_report& report);

} // namespace banyanshunt
