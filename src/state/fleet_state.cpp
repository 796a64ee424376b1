#include "state/fleet_state.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

template <class Id, class Object>
void merge_table(state_table<Id, Object>& into, const state_table<Id, Object>& from)
{
    for (const auto& [id, entry] : from)
    {
        auto [it, inserted] = into.try_emplace(id, entry);
        if (!inserted && it->second->offset < entry->offset)
        {
            it->second = entry;
        }
    }
}

} // namespace

fleet_state merge(const fleet_state& a, const fleet_state& b)
{
    fleet_state merged = a;
    merge_table(merged.models, b.models);
    merge_table(merged.adapters, b.adapters);
    merge_table(merged.workspaces, b.workspaces);
    merge_table(merged.keys, b.keys);
    merge_table(merged.routes, b.routes);
    merge_table(merged.servers, b.servers);
    merged.through = std::max(a.through, b.through);
    merged.last_ticket = std::max(a.last_ticket, b.last_ticket);
    return merged;
}

} // namespace banyanshunt
