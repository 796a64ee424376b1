#pragma once

/// \file
/// Tracks, for a planner, since when each replica has been idle and since when it has been
/// retiring. A replica is retired for a grace period before it is unloaded, because hosts that have
/// not yet received the change may still send it requests.

#include "coordination/placement/placement_policy.hpp"
#include "coordination/placement/placement_view.hpp"
#include "coordination/placement/usage_tracker.hpp"

namespace banyanshunt
{

/// Used by one thread.
class idle_tracker
{
public:
    /// Records which models are in use and which replicas are idle. A replica is idle when it is
    /// ready, runs no request, has no order or adapter load in progress, and no request waits for
    /// its model.
    void observe(const placement_view& view);

    /// Returns the replica as input for a placement policy, or nullopt while it is not idle.
    std::optional<idle_replica> find(const leased_server& server, const held_replica& replica,
                                     instant now) const;

    /// Makes `wanted` the set of retiring replicas. A replica that was already retiring keeps its
    /// start time.
    void retire(const std::set<replica_location>& wanted, instant now);
    /// Whether the replica has been retiring for at least `grace`.
    bool retired(const replica_location& location, milliseconds grace, instant now) const;
    bool retiring(const replica_location& location) const { return retiring_.contains(location); }

private:
    usage_tracker usage_;
    std::map<replica_location, instant> idle_since_;
    std::map<replica_location, instant> retiring_;
};

} // namespace banyanshunt
