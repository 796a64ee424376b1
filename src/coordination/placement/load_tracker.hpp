#pragma once

/// \file
/// Defines what a planner remembers of the loads that it began: how long each tier takes, how many
/// come from the weight store now, and when they should be ready.

#include "coordination/placement/load_times.hpp"
#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// Used by one thread.
class load_tracker
{
public:
    explicit load_tracker(load_times_options options = {}) : times_(options) {}

    /// Notes a load that is ordered at `now`.
    void record_start(const replica_location& place, checkpoint_tier tier, instant now);
    /// Learns from what the servers hold now. A load that an earlier holder began counts as one
    /// from the weight store that has just begun.
    void observe(const placement_view& view);

    /// When each load under way from the weight store should be ready.
    std::vector<instant> remote_ready_times() const;
    /// When the model should be ready on that server; nothing when it is not being loaded.
    std::optional<instant> ready_time(const replica_location& place) const;
    nanoseconds expected(checkpoint_tier tier) const { return times_.expected(tier); }

private:
    struct begun_load
    {
        checkpoint_tier tier;
        instant at;
    };

    void observe_server(const leased_server& server, instant now);

    load_times times_;
    std::map<replica_location, begun_load> begun_;
};

} // namespace banyanshunt
