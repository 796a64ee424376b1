#pragma once

/// \file
/// Computes which slots a server should own: a pure function of the decided state, the current
/// owners and the server's replicas. A server gives up a slot only when it is guaranteed to hold no
/// replica under it.

#include "coordination/model_engine.hpp"
#include "coordination/placement/slot_preference.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// One server, as known to its lease holder.
struct slot_claimant
{
    server_id server;
    /// The server gets no new work; it gives up each slot as soon as no replica is loaded under it.
    bool leaving = false;
    /// Models that are loaded, loading or unloading on the server, or that an unsettled order is
    /// for.
    std::set<model_id> held;
    /// Models whose checkpoint the server has in memory or on disk. It may claim their slots before
    /// the preferred servers, as long as its share of decided memory allows.
    std::map<model_id, checkpoint_tier> cached;
    /// Models whose slots the domain leaves to other domains for some seconds, because its own
    /// loads are overcommitted.
    std::set<model_id> yielded;
    /// Models in demand that this server could start to load at once; it claims one unowned slot of
    /// them ahead of the preference delay.
    std::set<model_id> can_start;
};

/// Remembers for some seconds which models the domain leaves to others. Used by one thread.
class overcommitted_models
{
public:
    void record(const std::set<model_id>& overcommitted, instant now);
    std::set<model_id> recent(instant now);

private:
    std::map<model_id, instant> recorded_;
};

/// When each unowned slot was first seen without an owner.
using unowned_since = std::map<replica_slot, instant>;

struct slot_claim_view
{
    const fleet_state& state;
    const slot_preference& preference;
    const slot_ledger& ledger;
    const unowned_since& unowned;
    instant now;
    /// How long each preferred server has before the next one may claim the slot too.
    milliseconds preference_delay{2000};
    /// How long the first preferred server waits if it has no cached checkpoint; a server with the
    /// checkpoint in memory claims at once, one with it on disk after half of this.
    milliseconds cache_delay{200};
};

/// Adds the slots that have no owner now to `unowned` and removes the others.
void record_unowned(const slot_preference& preference, const slot_ledger& ledger, instant now,
                    unowned_since& unowned);

/// Returns the complete set of slots that `claimant` should own.
slot_set wanted_slots(const slot_claim_view& view, const slot_claimant& claimant);

} // namespace banyanshunt
