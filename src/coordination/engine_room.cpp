#include "coordination/engine_room.hpp"

#include <algorithm>
#include <numeric>

namespace banyanshunt
{

void engine_room::add(const model_id& model, std::size_t adapters)
{
    adapters_[model] = adapters;
}

double engine_room::occupied_mb(const model_id& model) const
{
    auto held = adapters_.find(model);
    auto spec = engine_.models.find(model);
    if (held == adapters_.end())
    {
        return 0;
    }
    if (spec == engine_.models.end())
    {
        // The configuration no longer names it; the engine may hold it all the same.
        return std::accumulate(engine_.models.begin(), engine_.models.end(), 0.0,
                               [](double most, const auto& it)
                               { return std::max(most, it.second.weights_mb); });
    }
    return spec->second.weights_mb + static_cast<double>(held->second) * spec->second.adapter_mb;
}

double engine_room::free_mb() const
{
    return std::accumulate(adapters_.begin(), adapters_.end(), engine_.memory_mb,
                           [&](double left, const auto& it)
                           { return left - occupied_mb(it.first); });
}

bool engine_room::has_adapter_slot() const
{
    auto held = std::accumulate(adapters_.begin(), adapters_.end(), std::size_t(0),
                                [](std::size_t sum, const auto& it) { return sum + it.second; });
    return held < static_cast<std::size_t>(std::max(engine_.adapter_slots, 0));
}

bool engine_room::fits(const model_spec& model) const
{
    return model.weights_mb <= free_mb();
}

bool engine_room::fits_adapter(const model_spec& model) const
{
    return has_adapter_slot() && model.adapter_mb <= free_mb();
}

bool engine_room::fits_after(const model_id& unloaded, const model_spec& model) const
{
    return model.weights_mb <= free_mb() + occupied_mb(unloaded);
}

std::vector<eviction_candidate> cheapest_eviction(const engine_room& room, const model_spec& wanted,
                                                  const std::optional<model_id>& unloading,
                                                  std::vector<eviction_candidate> candidates)
{
    double missing_mb =
        wanted.weights_mb - room.free_mb() - (unloading ? room.occupied_mb(*unloading) : 0);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.worth < b.worth; });
    auto alone = std::find_if(candidates.begin(), candidates.end(),
                              [&](const eviction_candidate& it)
                              { return room.occupied_mb(it.model) >= missing_mb; });
    std::vector<eviction_candidate> together;
    double together_mb = 0;
    double together_worth = 0;
    for (const auto& it : candidates)
    {
        if (together_mb < missing_mb)
        {
            together.push_back(it);
            together_mb += room.occupied_mb(it.model);
            together_worth += it.worth;
        }
    }
    if (alone != candidates.end() && alone->worth <= together_worth)
    {
        return {*alone};
    }
    return together_mb < missing_mb ? std::vector<eviction_candidate>() : together;
}

} // namespace banyanshunt
