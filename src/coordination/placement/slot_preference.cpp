#include "coordination/placement/slot_preference.hpp"

#include <algorithm>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{
namespace
{

// A server takes up to this share, in percent, of the mean of decided memory for each server.
constexpr std::int64_t fullest_percent = 115;
constexpr std::int64_t percent = 100;

struct engine_share
{
    mebibytes memory;
    mebibytes given;
};

std::map<std::string, engine_share> staying_engines(const fleet_state& state)
{
    std::map<std::string, engine_share> engines;
    for (const auto& [id, entry] : state.servers)
    {
        bool engine = entry->value && entry->value->kind == server_kind::engine;
        if (engine && !entry->value->leaving)
        {
            engines[id.str()] = {.memory = entry->value->memory, .given = {}};
        }
    }
    return engines;
}

mebibytes decided_memory(const fleet_state& state)
{
    mebibytes sum;
    for (const auto& [id, entry] : state.models)
    {
        if (entry->value)
        {
            sum += mebibytes(entry->value->memory.count() * entry->value->max_replicas);
        }
    }
    return sum;
}

std::vector<std::string> fitting(const std::map<std::string, engine_share>& engines,
                                 mebibytes memory)
{
    std::vector<std::string> names;
    for (const auto& [name, share] : engines)
    {
        if (share.memory >= memory)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

slot_preference make_slot_preference(const fleet_state& state)
{
    auto engines = staying_engines(state);
    slot_preference preference;
    if (engines.empty())
    {
        return preference;
    }
    mebibytes most(decided_memory(state).count() * fullest_percent /
                   (percent * static_cast<std::int64_t>(engines.size())));
    for (const auto& [id, entry] : state.models)
    {
        if (!entry->value)
        {
            continue;
        }
        mebibytes memory = entry->value->memory;
        auto order = rendezvous_order(id.str(), fitting(engines, memory));
        std::stable_partition(order.begin(), order.end(),
                              [&](const std::string& name)
                              { return engines[name].given + memory <= most; });
        for (int index = 0; index < entry->value->max_replicas && !order.empty(); ++index)
        {
            // Each further slot starts one server later, so that slots spread over servers.
            auto& servers = preference[{.model = id, .index = index}];
            std::size_t first = static_cast<std::size_t>(index) % order.size();
            engines[order[first]].given += memory;
            for (std::size_t n = 0; n < order.size(); ++n)
            {
                servers.emplace_back(order[(first + n) % order.size()]);
            }
        }
    }
    return preference;
}

} // namespace banyanshunt
