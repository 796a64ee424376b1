#include "coordination/placement/slot_preference.hpp"

#include <algorithm>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{
namespace
{

// A server is assigned up to this percentage of the mean decided memory per server.
constexpr std::int64_t max_load_percent = 115;
constexpr std::int64_t percent = 100;

struct engine_share
{
    mebibytes memory;
    mebibytes assigned;
};

std::map<std::string, engine_share> remaining_engines(const fleet_state& state)
{
    std::map<std::string, engine_share> engines;
    for (const auto& [id, entry] : state.servers)
    {
        bool is_engine = entry->value && entry->value->kind == server_kind::engine;
        if (is_engine && !entry->value->leaving)
        {
            engines[id.str()] = {.memory = entry->value->memory, .assigned = {}};
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

std::vector<std::string> engines_with_memory(const std::map<std::string, engine_share>& engines,
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
    auto engines = remaining_engines(state);
    slot_preference preference;
    if (engines.empty())
    {
        return preference;
    }
    mebibytes memory_limit(decided_memory(state).count() * max_load_percent /
                           (percent * static_cast<std::int64_t>(engines.size())));
    for (const auto& [id, entry] : state.models)
    {
        if (!entry->value)
        {
            continue;
        }
        mebibytes memory = entry->value->memory;
        auto order = rendezvous_order(id.str(), engines_with_memory(engines, memory));
        std::stable_partition(order.begin(), order.end(),
                              [&](const std::string& name)
                              { return engines[name].assigned + memory <= memory_limit; });
        for (int index = 0; index < entry->value->max_replicas && !order.empty(); ++index)
        {
            // The list of each further slot starts one server later, so that slots spread over
            // servers.
            auto& servers = preference[{.model = id, .index = index}];
            std::size_t first = static_cast<std::size_t>(index) % order.size();
            engines[order[first]].assigned += memory;
            for (std::size_t n = 0; n < order.size(); ++n)
            {
                servers.emplace_back(order[(first + n) % order.size()]);
            }
        }
    }
    return preference;
}

} // namespace banyanshunt
