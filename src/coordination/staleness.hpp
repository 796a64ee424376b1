#pragma once

/// \file
/// Decides whether a host serves a workspace while its state is unconfirmed: it continues to serve,
/// or refuses after the limit that the workspace chose. A host that can reach neither the platform
/// nor its peers cannot learn that a key was withdrawn; only the workspace can weigh that risk
/// against availability.

#include <optional>

#include "state/fleet_state.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Returns the failure for a request of `workspace`, or nothing when it may be served.
///
/// `state_age` is the time since the state was last confirmed; empty if it never was.
std::optional<failure> refuse_if_stale(const fleet_state& state, const workspace_id& workspace,
                                       std::optional<milliseconds> state_age);

} // namespace banyanshunt
