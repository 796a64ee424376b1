#pragma once

/// \file
/// Tracks the loads that a planner started: how long each tier takes, how many loads come from the
/// weight store now, and when they are expected to be ready.

#include "coordination/placement/load_times.hpp"
#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// Used by one thread.
class load_tracker
{
public:
    explicit load_tracker(load_times_options options = {}) : times_(options) {}

    /// Records a load that is ordered at `now`.
    void record_start(const replica_location& location, checkpoint_tier tier, instant now);
    /// Updates the tracked loads and the durations from the servers' reports. A load that an
    /// earlier lease holder started counts as one from the weight store that starts now.
    void observe(const placement_view& view);

    /// When each load in flight from the weight store is expected to be ready.
    std::vector<instant> remote_ready_times() const;
    /// When the model is expected to be ready there; nullopt when it is not being loaded.
    std::optional<instant> ready_time(const replica_location& location) const;
    nanoseconds expected(checkpoint_tier tier) const { return times_.expected(tier); }

private:
    struct tracked_load
    {
        checkpoint_tier tier;
        instant started_at;
    };

    void observe_server(const leased_server& server, instant now);

    load_times times_;
    std::map<replica_location, tracked_load> loads_;
};

} // namespace banyanshunt
