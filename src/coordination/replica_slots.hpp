#pragma once

/// \file
/// Defines where replicas of a model may be loaded: a pure function of the state in force, so that
/// all placers compute the same slots and their replicas add up to no more than decided.

#include <vector>

#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// Returns the servers that each may hold one replica of `model`: as many as the ticket decided,
/// first in the model's rendezvous order, among the engines whose memory it fits in.
std::vector<server_id> replica_slots(const fleet_state& state, const model_id& model);

} // namespace banyanshunt
