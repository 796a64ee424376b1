#pragma once

/// \file
/// Defines what one host tells another about the state: everything that changed since a prefix that
/// the other already reflects.
///
/// A host's state is always the exact result of some prefix of the tickets' stream. A delta keeps
/// that so: it applies only to a state that reflects at least the prefix it starts from, and moves
/// that state to the prefix it ends at. Lost, repeated and reordered deltas therefore do no harm.

#include <optional>

#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// All entries that were set from `since` on, with the prefix and last ticket of their state.
struct state_delta
{
    /// The prefix that a receiver must reflect already; 0 for a whole state.
    log_offset since;
    fleet_state entries;
};

/// Returns what a state that reflects the prefix up to `since` lacks of `state`.
state_delta changes_since(const fleet_state& state, log_offset since);

/// Returns `state` moved forward by `delta`, or nothing when the delta is older than the state or
/// starts after it.
std::optional<fleet_state> apply_delta(const fleet_state& state, const state_delta& delta);

} // namespace banyanshunt
