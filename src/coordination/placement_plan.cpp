#include "coordination/placement_plan.hpp"

#include <algorithm>

#include "coordination/replica_slots.hpp"

namespace banyanshunt
{
namespace
{

const held_replica* find_replica(const held_server& server, const model_id& model)
{
    for (const auto& replica : server.report.replicas)
    {
        if (replica.model == model && replica.phase != replica_phase::unloading)
        {
            return &replica;
        }
    }
    return nullptr;
}

bool has_adapter(const held_replica& replica, const adapter_id& adapter)
{
    auto listed = [&adapter](const std::vector<adapter_id>& list)
    { return std::find(list.begin(), list.end(), adapter) != list.end(); };
    return listed(replica.adapters) || listed(replica.adapters_loading);
}

mebibytes free_memory(const held_server& server)
{
    return server.report.memory_total - server.report.memory_used;
}

// Plans the adapter on a server that has the base model ready.
std::optional<planned_order> plan_adapter(std::vector<held_server>& servers,
                                          const replica_need& need, const adapter_object& adapter)
{
    for (auto& server : servers)
    {
        const held_replica* replica = find_replica(server, need.model);
        if (!replica || replica->phase != replica_phase::ready)
        {
            continue;
        }
        if (has_adapter(*replica, need.adapter))
        {
            return std::nullopt;
        }
        if (free_memory(server) >= adapter.memory)
        {
            server.report.memory_used += adapter.memory;
            return planned_order{.server = server.server,
                                 .order = {.kind = order_kind::load_adapter,
                                           .model = need.model,
                                           .version = replica->version,
                                           .adapter = need.adapter,
                                           .memory = adapter.memory,
                                           .fencing = server.fencing}};
        }
    }
    return std::nullopt;
}

// Plans the model on the first of its slots that has room, unless a slot here holds it already.
std::optional<planned_order> plan_model(std::vector<held_server>& servers, const replica_need& need,
                                        const model_object& model,
                                        const std::vector<server_id>& slots)
{
    held_server* chosen = nullptr;
    for (auto& server : servers)
    {
        bool slot = std::find(slots.begin(), slots.end(), server.server) != slots.end();
        if (slot && find_replica(server, need.model))
        {
            return std::nullopt;
        }
        if (slot && !chosen && free_memory(server) >= model.memory)
        {
            chosen = &server;
        }
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    chosen->report.memory_used += model.memory;
    return planned_order{.server = chosen->server,
                         .order = {.kind = order_kind::load_model,
                                   .model = need.model,
                                   .version = model.version,
                                   .adapter = {},
                                   .memory = model.memory,
                                   .fencing = chosen->fencing}};
}

} // namespace

std::vector<planned_order> plan_orders(const placement_view& view)
{
    std::vector<held_server> servers = view.servers;
    std::vector<planned_order> orders;
    for (const auto& need : view.needs)
    {
        const model_object* model = find_object(view.state->models, need.model);
        if (!model || model->replicas == 0)
        {
            continue;
        }
        auto order = plan_model(servers, need, *model, replica_slots(*view.state, need.model));
        const adapter_object* adapter = find_object(view.state->adapters, need.adapter);
        if (!order && adapter)
        {
            order = plan_adapter(servers, need, *adapter);
        }
        if (order)
        {
            orders.push_back(*order);
        }
    }
    return orders;
}

} // namespace banyanshunt
