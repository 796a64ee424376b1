#pragma once

/// \file
/// Defines what a placer remembers of each model's use, from which it expects the next one. Idle
/// times are smoothed rather than kept, so that the memory for each model is constant.

#include <map>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// What is known of one model's use.
struct model_usage
{
    /// When it was last seen in use or waited for.
    instant last_used;
    /// The smoothed time between the end of one use and the start of the next; zero before the
    /// second use.
    nanoseconds mean_gap{0};
    /// How many gaps were seen.
    int gaps = 0;
};

/// Used by one thread.
class usage_tracker
{
public:
    /// Notes that `model` is in use, or waited for, at `now`.
    void record_use(const model_id& model, instant now);
    /// Returns what is known, or nothing for a model that was never used.
    const model_usage* find(const model_id& model) const;

private:
    std::map<model_id, model_usage> models_;
};

} // namespace banyanshunt
