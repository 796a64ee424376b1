#include "coordination/state_delta.hpp"

namespace banyanshunt
{
namespace
{

template <class Id, class Object>
state_table<Id, Object> newer_entries(const state_table<Id, Object>& table, log_offset since)
{
    state_table<Id, Object> newer;
    for (const auto& [id, entry] : table)
    {
        if (entry->offset >= since)
        {
            newer.emplace_hint(newer.end(), id, entry);
        }
    }
    return newer;
}

} // namespace

state_delta changes_since(const fleet_state& state, log_offset since)
{
    state_delta delta{.since = since, .entries = {}};
    delta.entries.models = newer_entries(state.models, since);
    delta.entries.adapters = newer_entries(state.adapters, since);
    delta.entries.workspaces = newer_entries(state.workspaces, since);
    delta.entries.keys = newer_entries(state.keys, since);
    delta.entries.routes = newer_entries(state.routes, since);
    delta.entries.servers = newer_entries(state.servers, since);
    for (const auto& [number, accepted] : state.accepted)
    {
        if (accepted.offset >= since)
        {
            delta.entries.accepted.emplace(number, accepted);
        }
    }
    delta.entries.next_offset = state.next_offset;
    delta.entries.last_ticket = state.last_ticket;
    return delta;
}

std::optional<fleet_state> apply_delta(const fleet_state& state, const state_delta& delta)
{
    bool contiguous = delta.since <= state.next_offset;
    bool newer = delta.entries.next_offset > state.next_offset;
    if (!contiguous || !newer)
    {
        return std::nullopt;
    }
    return merge(state, delta.entries);
}

} // namespace banyanshunt
