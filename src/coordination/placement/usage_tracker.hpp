#pragma once

/// \file
/// Tracks each model's use to predict the next one. The gaps between uses are smoothed rather than
/// stored, so that the memory for each model is constant.

#include <map>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// The observed use of one model.
struct model_usage
{
    /// When the model was last in use or in demand.
    instant last_used;
    /// The smoothed time between the end of one use and the start of the next; zero before the
    /// second use.
    nanoseconds mean_gap{0};
    /// The number of gaps observed.
    int gaps = 0;
};

/// Used by one thread.
class usage_tracker
{
public:
    /// Records that `model` is in use or in demand at `now`.
    void record_use(const model_id& model, instant now);
    /// Returns the observed use, or null for a model that was never used.
    const model_usage* find(const model_id& model) const;

private:
    std::map<model_id, model_usage> models_;
};

} // namespace banyanshunt
