#pragma once

/// \file
/// Decides when a replica of an old version may be unloaded, so that a new version is rolled out
/// one slot at a time while the other slots serve.
///
/// A new replica beside the old one would exceed the decided number of replicas, so each slot
/// unloads before it loads. Domains do not coordinate: slot N waits N intervals from when this
/// placer saw the new version, and an interval is the time to unload and load. A model with one
/// decided replica is unavailable for the duration of one load when its version changes.

#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// Used by one thread.
class version_rollout
{
public:
    /// Records the versions in effect.
    void observe(const fleet_state& state, instant now);

    /// Whether a replica of another version than the decided one may be unloaded now.
    bool may_replace(const model_id& model, int index, nanoseconds slot_interval,
                     instant now) const;

    /// Records that a replica is unloaded to change its version; its server reloads the model
    /// without a demand.
    void record_replacement(const replica_location& location) { replacing_.insert(location); }
    /// Replicas that were unloaded to change their version and are not loaded again yet.
    std::vector<replica_location> pending_reloads(const placement_view& view);

private:
    struct seen_version
    {
        version_id version;
        instant seen_at;
    };

    std::map<model_id, seen_version> seen_;
    std::set<replica_location> replacing_;
};

} // namespace banyanshunt
