#pragma once

/// \file
/// Defines the need of waiting requests for a replica, which entry hosts tell the placers.

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
    /// When the first of the requests must have its answer begun.
    instant deadline;
    /// The workspace of that request.
    workspace_id workspace;
    /// When the last of the requests must have its answer begun: a replica that is ready later
    /// helps none of them.
    instant last_deadline = deadline;
};

} // namespace banyanshunt
