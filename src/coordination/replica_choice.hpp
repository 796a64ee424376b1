#pragma once

/// \file
/// Defines the choice of a replica for a request: a pure function of what the host knows.

#include <optional>

#include "coordination/replica_table.hpp"

namespace banyanshunt
{

/// Which replicas can serve a request.
struct replica_filter
{
    model_id model;
    /// Empty when the base model is asked.
    adapter_id adapter;
};

/// Returns the least loaded replica that can serve, near ones first at equal load; nothing when
/// none can. Leaving servers are never chosen.
std::optional<ready_replica> choose_replica(const replica_table& table,
                                            const replica_filter& filter);

} // namespace banyanshunt
