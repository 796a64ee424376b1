#pragma once

/// \file
/// Defines which slots a server should own from now on: a pure function from what is decided, what
/// is owned and what the server holds. A slot is given up only when the server surely holds no
/// replica under it.

#include "coordination/model_engine.hpp"
#include "coordination/placement/slot_preference.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// One server as its lease holder knows it.
struct slot_claimant
{
    server_id server;
    /// The server gets no new work: it gives up each slot as soon as nothing is loaded under it.
    bool leaving = false;
    /// Models that are loaded, loading or unloading on it, or may be under an unsettled order.
    std::set<model_id> held;
    /// Models whose checkpoint the server has in memory or on disk. It may ask for their slots
    /// before the preferred servers, as long as its share of decided memory allows.
    std::map<model_id, checkpoint_tier> cached;
    /// Models whose slots the domain leaves to others for a while, as its own loads are crowded.
    std::set<model_id> yielded;
    /// Models that are waited for and that this server could begin to load at once; it asks for
    /// one free slot of them before its turn.
    std::set<model_id> can_start;
};

/// Remembers for some seconds which models the domain has left to others. Used by one thread.
class overcommitted_models
{
public:
    void record(const std::set<model_id>& crowded, instant now);
    std::set<model_id> recent(instant now);

private:
    std::map<model_id, instant> noted_;
};

/// Since when each slot has been seen without an owner.
using unowned_since = std::map<replica_slot, instant>;

struct slot_claim_view
{
    const fleet_state& state;
    const slot_preference& preference;
    const slot_ledger& ledger;
    const unowned_since& unowned;
    instant now;
    /// How long each preferred server gets before the next one may ask too.
    milliseconds preference_delay{2000};
    /// How much longer than a server with the checkpoint on disk the first preferred server waits;
    /// one with it in memory asks at once, one with it on disk after half of this.
    milliseconds cache_delay{200};
};

/// Notes slots that have no owner now and forgets those that have.
void record_unowned(const slot_preference& preference, const slot_ledger& ledger, instant now,
                    unowned_since& unowned);

/// Returns the whole set of slots that `claimant` should own.
slot_set wanted_slots(const slot_claim_view& view, const slot_claimant& claimant);

} // namespace banyanshunt
