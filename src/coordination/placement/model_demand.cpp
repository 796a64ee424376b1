#include "coordination/placement/model_demand.hpp"

#include <cmath>

namespace banyanshunt
{
namespace
{

constexpr std::chrono::duration<double> half_life(10);

} // namespace

std::vector<model_demand> demand_tracker::merge(const std::vector<replica_demand>& needs,
                                                instant now)
{
    std::map<model_id, model_demand> models;
    for (const auto& need : needs)
    {
        auto [it, first] = models.try_emplace(
            need.model, model_demand{.total = need, .since = {}, .adapters = {}});
        model_demand& joined = it->second;
        joined.since = since_.try_emplace(need.model, now).first->second;
        if (!need.adapter.empty())
        {
            joined.adapters.insert(need.adapter);
        }
        joined.total.adapter = adapter_id();
        if (first)
        {
            continue;
        }
        joined.total.waiting += need.waiting;
        joined.total.last_deadline = std::max(joined.total.last_deadline, need.last_deadline);
        if (need.deadline < joined.total.deadline)
        {
            joined.total.deadline = need.deadline;
            joined.total.workspace = need.workspace;
        }
    }
    std::erase_if(since_, [&](const auto& it) { return !models.contains(it.first); });
    std::vector<model_demand> all;
    all.reserve(models.size());
    for (auto& [model, joined] : models)
    {
        all.push_back(std::move(joined));
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
