#pragma once

/// \file
/// Defines the estimate of a request's wait at the door: a request that cannot be served in time is
/// told so when it comes, not when its time is over. Pure.

#include <cstddef>
#include <optional>

#include "state/units.hpp"

namespace banyanshunt
{

/// What is known when a request comes.
struct wait_inputs
{
    /// Requests that wait for the same replicas.
    std::size_t waiting = 0;
    /// Those of them of the request's own workspace.
    std::size_t own_waiting = 0;
    /// Workspaces that wait, the request's own included.
    std::size_t workspaces = 1;
    /// Requests that the replicas take at once; 0 while there is no replica.
    std::size_t slots = 0;
    /// How long a request holds its slot, as measured lately; 0 while unknown.
    milliseconds hold_time{0};
};

/// Returns the estimated wait, or nothing when nothing can be said, as before a load. Fair order
/// puts at most the own requests' number from each workspace ahead.
std::optional<milliseconds> estimate_wait(const wait_inputs& facts);

} // namespace banyanshunt
