#pragma once

/// \file
/// The demand of waiting requests for a replica, which entry hosts report to the placers.

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// A model, or an adapter of it, that requests of one host wait for.
struct replica_demand
{
    model_id model;
    /// Empty when the base model itself is needed.
    adapter_id adapter;
    int waiting = 0;
    /// The earliest time by which the response to one of the requests must begin.
    instant deadline;
    /// The workspace of the request with that deadline.
    workspace_id workspace;
    /// The latest such time: a replica that is ready after it helps none of the requests.
    instant last_deadline = deadline;
};

} // namespace banyanshunt
