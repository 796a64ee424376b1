#pragma once

/// \file
/// The estimate of a request's wait on arrival: a request that cannot be served in time is refused
/// on arrival, not at its deadline. Pure.

#include <cstddef>
#include <optional>

#include "state/units.hpp"

namespace banyanshunt
{

/// What is known when a request arrives.
struct wait_inputs
{
    /// Requests that wait for the same replicas.
    std::size_t waiting = 0;
    /// How many of them are of the request's own workspace.
    std::size_t own_waiting = 0;
    /// Workspaces with waiting requests, the request's own included.
    std::size_t workspaces = 1;
    /// Concurrent requests that the replicas serve; 0 while there is no replica.
    std::size_t slots = 0;
    /// Recent average of how long a request holds its slot; 0 while unknown.
    milliseconds hold_time{0};
};

/// Returns the estimated wait, or nothing without a basis for an estimate, as before a load. Fair
/// order serves at most as many requests of each other workspace first as the request's own
/// workspace has waiting, the request included.
std::optional<milliseconds> estimate_wait(const wait_inputs& inputs);

} // namespace banyanshunt
