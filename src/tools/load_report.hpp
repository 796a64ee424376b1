#pragma once

/// \file
/// The report of a load run: latency percentiles per stream and the four measures by which the
/// deployments are scored.

#include <array>
#include <map>
#include <string>

#include "tools/latency_histogram.hpp"
#include "tools/load_run.hpp"
#include "tools/rate_audit.hpp"

namespace banyanshunt
{

/// Outcome counts of the requests of one stream or workspace.
struct outcome_counts
{
    std::int64_t requested = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    /// No response, or an incomplete one: the caller does not know whether the request ran.
    std::int64_t lost = 0;
    /// Latency of answered requests, from the intended send time to the first token.
    latency_histogram first_token;
    std::map<std::string, std::int64_t> reasons;

    void add(const load_outcome& outcome);
};

/// The workspace with the lowest fraction of requests answered within their deadline.
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

/// Formats the report as a table for a terminal.
std::string report_text(const run_report& report);
/// Formats the report as JSON.
std::string report_json(const run_report& report);

} // namespace banyanshunt
