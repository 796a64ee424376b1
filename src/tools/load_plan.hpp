#pragma once

/// \file
/// Defines the plan of a load run: every request with its intended time, drawn from the seed before
/// the run begins, because an open-loop load must not depend on how fast answers come.

#include <string>
#include <vector>

#include "tools/workload.hpp"

namespace banyanshunt
{

struct planned_request
{
    /// When to send it, after the run's begin.
    nanoseconds at{0};
    /// Index into the workload's streams.
    std::size_t stream = 0;
    /// The model's or adapter's name; empty for a plain service.
    std::string name;
    std::string prompt;
    /// Unique in the run.
    std::int64_t number = 0;
};

/// Returns all requests of the run in the order of their times. The same workload, with the same
/// seed, gives the same plan.
std::vector<planned_request> plan_load(const workload& load);

} // namespace banyanshunt
