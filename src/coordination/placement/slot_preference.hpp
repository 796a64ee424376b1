#pragma once

/// \file
/// Defines which server should ask for which slot: a pure function of the state in force, so that
/// placers seldom ask for the same slot. It is advice only; the slot ledger decides.

#include <vector>

#include "coordination/placement/slot_ledger.hpp"
#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// For each slot, the servers that may ask for it, the one that should ask first at the front.
///
/// The order is the model's rendezvous order among the engines that are not leaving and whose
/// memory it fits in, but a server whose share of all decided memory is full comes last for further
/// models: plain rendezvous gives one of twelve servers twice the mean, and its models then evict
/// each other.
using slot_preference = std::map<replica_slot, std::vector<server_id>>;

slot_preference make_slot_preference(const fleet_state& state);

} // namespace banyanshunt
