#pragma once

/// \file
/// The plan of a load run: every request with its intended send time. The plan is generated from
/// the seed before the run starts, because open-loop load must not depend on how fast responses
/// arrive.

#include <string>
#include <vector>

#include "tools/workload.hpp"

namespace banyanshunt
{

struct planned_request
{
    /// Intended send time, relative to the start of the run.
    nanoseconds at{0};
    /// Index into the workload's streams.
    std::size_t stream = 0;
    /// The model's or adapter's name; empty for a plain service.
    std::string name;
    std::string prompt;
    /// Unique in the run.
    std::int64_t number = 0;
};

/// Returns all requests of the run, sorted by send time. The same workload and seed give the same
/// plan.
std::vector<planned_request> plan_load(const workload& load);

} // namespace banyanshunt
