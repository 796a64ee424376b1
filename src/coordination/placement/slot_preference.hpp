#pragma once

/// \file
/// Computes which server should claim which slot: a pure function of the state in effect, so that
/// placers seldom claim the same slot. It is only a hint; the slot ledger decides.

#include <vector>

#include "coordination/placement/slot_ledger.hpp"
#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// For each slot, the servers that may claim it, the most preferred first.
///
/// The order is the model's rendezvous order among the engines that are not leaving and whose
/// memory it fits in, but a server whose share of all decided memory is used up comes last for
/// further models: plain rendezvous hashing gives one of twelve servers twice the mean, and its
/// models then evict each other.
using slot_preference = std::map<replica_slot, std::vector<server_id>>;

slot_preference make_slot_preference(const fleet_state& state);

} // namespace banyanshunt
