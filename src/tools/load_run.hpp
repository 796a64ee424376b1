#pragma once

/// \file
/// Runs a load plan. One thread enqueues requests at their intended times, sender threads send
/// them, and every outcome is kept for the report.

#include <functional>

#include "tools/caller.hpp"
#include "tools/load_plan.hpp"

namespace banyanshunt
{

/// The outcome of one planned request.
struct load_outcome
{
    planned_request planned;
    /// Intended send time on the runner's clock; latencies are measured from here.
    instant intended;
    caller_response response;

    /// Time from the intended send time to the first token, or to the end if there is none.
    nanoseconds first_token_latency() const
    {
        return response.first_token.value_or(response.ended) - intended;
    }
};

/// Counts of a run so far; reported once a second.
struct load_progress
{
    seconds elapsed{0};
    std::size_t planned = 0;
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t lost = 0;
};

struct load_result
{
    std::vector<load_outcome> outcomes;
    /// Accelerator time during which loaded replicas were idle; nullopt without engine addresses.
    std::optional<nanoseconds> idle_accelerator_time;
    nanoseconds elapsed{0};
};

/// Runs the complete plan; returns once every request has an outcome.
load_result run_load(const workload& load, const std::vector<planned_request>& plan,
                     const std::function<void(const load_progress&)>& report_progress);

} // namespace banyanshunt
