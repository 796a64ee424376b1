#pragma once

/// \file
/// Defines when a replica of an old version may go, so that a new version comes to one slot after
/// the other and the other slots serve meanwhile.
///
/// A new replica beside the old one would be one more than decided, so each slot unloads before it
/// loads. Domains do not talk about it: slot N waits N turns from when this placer saw the new
/// version, and a turn is the time to unload and load. A model with one decided replica cannot
/// change its version without the time of one load.

#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// Used by one thread.
class version_rollout
{
public:
    /// Notes the versions in force.
    void observe(const fleet_state& state, instant now);

    /// Whether a replica of another version than the decided one may go now.
    bool may_replace(const model_id& model, int index, nanoseconds turn, instant now) const;

    /// Notes that a replica goes for its version's sake; its server reloads the model unasked.
    void record_replacement(const replica_location& place) { switching_.insert(place); }
    /// Replicas that were unloaded for their version and are not loaded again yet.
    std::vector<replica_location> pending_reloads(const placement_view& view);

private:
    struct seen_version
    {
        version_id version;
        instant at;
    };

    std::map<model_id, seen_version> seen_;
    std::set<replica_location> switching_;
};

} // namespace banyanshunt
