#pragma once

/// \file
/// Merges the demands for one model, whichever adapter they are for, because one load serves all of
/// them.

#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// The demand of all requests that wait for one model.
struct model_demand
{
    /// The merged demand, with an empty adapter.
    replica_demand total;
    /// When the demand was first seen.
    instant since;
    /// The adapters that requests wait for.
    std::set<adapter_id> adapters;
};

/// Merges demands and tracks since when each model has been in demand. Used by one thread.
class demand_tracker
{
public:
    std::vector<model_demand> merge(const std::vector<replica_demand>& demands, instant now);

private:
    std::map<model_id, instant> since_;
};

/// Counts the loads recently started for each workspace; a count halves every ten seconds.
class workspace_loads
{
public:
    void record_start(const workspace_id& workspace, instant now);
    double recent(const workspace_id& workspace, instant now) const;

private:
    struct decaying_count
    {
        double count = 0;
        instant at;
    };

    std::map<workspace_id, decaying_count> counts_;
};

} // namespace banyanshunt
