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
            seen_.try_emplace(id, seen_version{.version = entry->value->version, .at = now});
        if (!first && it->second.version != entry->value->version)
        {
            it->second = {.version = entry->value->version, .at = now};
        }
    }
}

bool version_rollout::may_replace(const model_id& model, int index, nanoseconds turn,
                                  instant now) const
{
    auto it = seen_.find(model);
    return it != seen_.end() && now - it->second.at >= turn * index;
}

std::vector<replica_location> version_rollout::pending_reloads(const placement_view& view)
{
    std::vector<replica_location> places;
    for (const auto& server : view.servers)
    {
        for (const auto& [model, index] : server.slots)
        {
            replica_location place{.server = server.server, .model = model};
            if (!switching_.contains(place))
            {
                continue;
            }
            const held_replica* replica = find_replica(server.report, model);
            const model_object* object = find_object(view.state->models, model);
            if (!object || (replica && replica->version == object->version))
            {
                switching_.erase(place);
            }
            else if (!replica)
            {
                places.push_back(place);
            }
        }
    }
    return places;
}

} // namespace banyanshunt
