#include "coordination/replica_slots.hpp"

#include <algorithm>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

std::vector<server_id> replica_slots(const fleet_state& state, const model_id& model)
{
    const model_object* object = find_object(state.models, model);
    if (!object)
    {
        return {};
    }
    std::vector<std::string> fitting;
    for (const auto& [id, entry] : state.servers)
    {
        bool engine = entry->value && entry->value->kind == server_kind::engine;
        if (engine && entry->value->memory >= object->memory)
        {
            fitting.push_back(id.str());
        }
    }
    std::vector<server_id> slots;
    for (auto& name : rendezvous_order(model.str(), std::move(fitting)))
    {
        if (slots.size() == static_cast<std::size_t>(object->replicas))
        {
            break;
        }
        slots.emplace_back(std::move(name));
    }
    return slots;
}

} // namespace banyanshunt
