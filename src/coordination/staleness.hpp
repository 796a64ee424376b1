#pragma once

/// \file
/// Defines what a host does for a workspace while nothing confirms its state: serve on, or refuse
/// after the limit that the workspace chose. A host that is cut off from platform and peers alike
/// cannot learn that a key was withdrawn; only the workspace can weigh that against an answer.

#include <optional>

#include "state/fleet_state.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Returns the refusal of a request of `workspace`, or nothing when it may be served.
///
/// `state_age` is the time since the state was confirmed; nothing if it never was.
std::optional<failure> refuse_if_stale(const fleet_state& state, const workspace_id& workspace,
                                       std::optional<milliseconds> age);

} // namespace banyanshunt
