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

template <class Id, class Object>
bool same_table(const state_table<Id, Object>& a, const state_table<Id, Object>& b)
{
    auto same_entry = [](const auto& x, const auto& y)
    { return x.first == y.first && *x.second == *y.second; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), same_entry);
}

} // namespace

void prune_accepted_tickets(fleet_state& state)
{
    while (state.accepted.size() > max_retained_tickets)
    {
        state.accepted.erase(state.accepted.begin());
    }
}

bool same_state(const fleet_state& a, const fleet_state& b)
{
    return a.next_offset == b.next_offset && a.last_ticket == b.last_ticket &&
           a.accepted == b.accepted && same_table(a.models, b.models) &&
           same_table(a.adapters, b.adapters) && same_table(a.workspaces, b.workspaces) &&
           same_table(a.keys, b.keys) && same_table(a.routes, b.routes) &&
           same_table(a.servers, b.servers);
}

fleet_state merge(const fleet_state& a, const fleet_state& b)
{
    fleet_state merged = a;
    merge_table(merged.models, b.models);
    merge_table(merged.adapters, b.adapters);
    merge_table(merged.workspaces, b.workspaces);
    merge_table(merged.keys, b.keys);
    merge_table(merged.routes, b.routes);
    merge_table(merged.servers, b.servers);
    merged.accepted.insert(b.accepted.begin(), b.accepted.end());
    prune_accepted_tickets(merged);
    merged.next_offset = std::max(a.next_offset, b.next_offset);
    merged.last_ticket = std::max(a.last_ticket, b.last_ticket);
    return merged;
}

} // namespace banyanshunt
