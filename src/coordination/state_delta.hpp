#pragma once

/// \file
/// A state delta that one host sends to another: everything that changed since a prefix that the
/// other's state already reflects.
///
/// A host's state is always the exact result of some prefix of the tickets stream. A delta
/// preserves this: it applies only to a state that reflects at least the prefix that it starts
/// from, and advances that state to the prefix that it ends at. Lost, duplicated and reordered
/// deltas are therefore harmless.

#include <optional>

#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// All entries set at offset `since` or later, with the prefix and last ticket of their state.
struct state_delta
{
    /// The prefix that the receiver's state must already reflect; 0 for a complete state.
    log_offset since;
    fleet_state entries;
};

/// Returns the entries of `state` that a state reflecting the prefix up to `since` lacks.
state_delta changes_since(const fleet_state& state, log_offset since);

/// Returns `state` advanced by `delta`, or nothing when the delta is not newer than the state or
/// starts after it.
std::optional<fleet_state> apply_delta(const fleet_state& state, const state_delta& delta);

} // namespace banyanshunt
