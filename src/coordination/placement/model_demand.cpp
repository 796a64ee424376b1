#include "coordination/placement/model_demand.hpp"

#include <cmath>

namespace banyanshunt
{
namespace
{

constexpr std::chrono::duration<double> half_life(10);

} // namespace

std::vector<model_demand> demand_tracker::merge(const std::vector<replica_demand>& demands,
                                                instant now)
{
    std::map<model_id, model_demand> models;
    for (const auto& demand : demands)
    {
        auto [it, first] = models.try_emplace(
            demand.model, model_demand{.total = demand, .since = {}, .adapters = {}});
        model_demand& merged = it->second;
        merged.since = since_.try_emplace(demand.model, now).first->second;
        if (!demand.adapter.empty())
        {
            merged.adapters.insert(demand.adapter);
        }
        merged.total.adapter = adapter_id();
        if (first)
        {
            continue;
        }
        merged.total.waiting += demand.waiting;
        merged.total.last_deadline = std::max(merged.total.last_deadline, demand.last_deadline);
        if (demand.deadline < merged.total.deadline)
        {
            merged.total.deadline = demand.deadline;
            merged.total.workspace = demand.workspace;
        }
    }
    std::erase_if(since_, [&](const auto& it) { return !models.contains(it.first); });
    std::vector<model_demand> all;
    all.reserve(models.size());
    for (auto& [model, merged] : models)
    {
        all.push_back(std::move(merged));
    }
    return all;
}

void workspace_loads::record_start(const workspace_id& workspace, instant now)
{
    double count = recent(workspace, now) + 1;
    counts_[workspace] = {.count = count, .at = now};
}

double workspace_loads::recent(const workspace_id& workspace, instant now) const
{
    auto it = counts_.find(workspace);
    if (it == counts_.end())
    {
        return 0;
    }
    std::chrono::duration<double> age = now - it->second.at;
    return it->second.count * std::exp2(-age / half_life);
}

} // namespace banyanshunt
