#pragma once

/// \file
/// Defines what a planner remembers of idle replicas: since when each is idle, and since when each
/// is being retired. A replica that is to be unloaded first gets no further requests for a while,
/// because hosts that have not heard of it may still send it some.

#include "coordination/placement/placement_policy.hpp"
#include "coordination/placement/placement_view.hpp"
#include "coordination/placement/usage_tracker.hpp"

namespace banyanshunt
{

/// Used by one thread.
class idle_tracker
{
public:
    /// Notes use and idleness. A replica is idle when it is ready, runs nothing, nothing is being
    /// done to it, and nobody waits for its model.
    void observe(const placement_view& view);

    /// Returns the replica as a policy sees it, or nothing while it is not idle.
    std::optional<idle_replica> find(const leased_server& server, const held_replica& replica,
                                     instant now) const;

    /// Makes `wanted` the set of retiring replicas; those that were retiring stay so since then.
    void retire(const std::set<replica_location>& wanted, instant now);
    /// Whether the replica has been retiring for at least `grace`.
    bool retired(const replica_location& place, milliseconds grace, instant now) const;
    bool retiring(const replica_location& place) const { return retiring_.contains(place); }

private:
    usage_tracker usage_;
    std::map<replica_location, instant> idle_since_;
    std::map<replica_location, instant> retiring_;
};

} // namespace banyanshunt
