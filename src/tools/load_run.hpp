#pragma once

/// \file
/// Defines the run of a load plan: one thread hands out requests at their intended times, others
/// send them, and every outcome is kept for the report.

#include <functional>

#include "tools/caller.hpp"
#include "tools/load_plan.hpp"

namespace banyanshunt
{

/// What came of one planned request.
struct load_outcome
{
    planned_request planned;
    /// The intended time on the runner's clock; latencies count from here.
    instant intended;
    caller_response response;

    /// From the intended time to the first token, or to the end when there is no token.
    nanoseconds first_token_latency() const
    {
        return response.first_token.value_or(response.ended) - intended;
    }
};

/// What a run has seen so far; told once a second.
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
    /// Accelerator time that loaded replicas stood idle, if engines were named.
    std::optional<nanoseconds> idle_accelerator_time;
    nanoseconds elapsed{0};
};

/// Runs the plan to its end; returns once every request has its outcome.
load_result run_load(const workload& load, const std::vector<planned_request>& plan,
                     const std::function<void(const load_progress&)>& tell);

} // namespace banyanshunt
