#include "coordination/placement/version_rollout.hpp"

namespace banyanshunt
{

void version_rollout::observe(const fleet_state& state, instant now)
{
    for (const auto& [id, entry] : state.models)
    {
        if (!entry->value)
        {
            seen_.erase(id);
            continue;
        }
        auto [it, first] =
            seen_.try_emplace(id, seen_version{.version = entry->value->version, .seen_at = now});
        if (!first && it->second.version != entry->value->version)
        {
            it->second = {.version = entry->value->version, .seen_at = now};
        }
    }
}

bool version_rollout::may_replace(const model_id& model, int index, nanoseconds slot_interval,
                                  instant now) const
{
    auto it = seen_.find(model);
    return it != seen_.end() && now - it->second.seen_at >= slot_interval * index;
}

std::vector<replica_location> version_rollout::pending_reloads(const placement_view& view)
{
    std::vector<replica_location> locations;
    for (const auto& server : view.servers)
    {
        for (const auto& [model, index] : server.slots)
        {
            replica_location location{.server = server.server, .model = model};
            if (!replacing_.contains(location))
            {
                continue;
            }
            const held_replica* replica = find_replica(server.report, model);
            const model_object* object = find_object(view.state->models, model);
            if (!object || (replica && replica->version == object->version))
            {
                replacing_.erase(location);
            }
            else if (!replica)
            {
                locations.push_back(location);
            }
        }
    }
    return locations;
}

} // namespace banyanshunt
