#pragma once

/// \file
/// Defines the demand for models: all needs for one model joined, whichever adapter they are for,
/// because they become one load.

#include "coordination/placement/placement_view.hpp"

namespace banyanshunt
{

/// All that wait for one model.
struct model_demand
{
    /// With the adapter left empty, and all who wait.
    replica_demand total;
    /// When it was first seen.
    instant since;
    /// The adapters that are waited for.
    std::set<adapter_id> adapters;
};

/// Joins needs and remembers since when each model has been waited for. Used by one thread.
class demand_tracker
{
public:
    std::vector<model_demand> merge(const std::vector<replica_demand>& needs, instant now);

private:
    std::map<model_id, instant> since_;
};

/// Counts the loads lately begun for each workspace; a count halves every ten seconds.
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
