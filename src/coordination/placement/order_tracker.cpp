#include "coordination/placement/order_tracker.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

bool contains_adapter(const std::vector<adapter_id>& adapters, const adapter_id& adapter)
{
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

bool is_load(order_kind kind)
{
    return kind == order_kind::load_model || kind == order_kind::load_adapter;
}

} // namespace

const held_replica* find_replica(const engine_report& report, const model_id& model)
{
    auto it = std::find_if(report.replicas.begin(), report.replicas.end(),
                           [&](const held_replica& held) { return held.model == model; });
    return it == report.replicas.end() ? nullptr : &*it;
}

bool shows_effect(const engine_report& report, const engine_order& order)
{
    const held_replica* replica = find_replica(report, order.model);
    bool has_adapter = replica && (contains_adapter(replica->adapters, order.adapter) ||
                                   contains_adapter(replica->adapters_loading, order.adapter));
    switch (order.kind)
    {
    case order_kind::load_model:
        return replica && replica->phase != replica_phase::unloading;
    case order_kind::unload_model:
        return !replica;
    case order_kind::load_adapter:
        return has_adapter;
    case order_kind::unload_adapter:
        return !has_adapter;
    }
    return false;
}

engine_order make_fencing_order(fencing_number fencing)
{
    return {.kind = order_kind::unload_model,
            .model = model_id("-"),
            .version = {},
            .adapter = {},
            .memory = {},
            .fencing = fencing};
}

void order_tracker::record_sent(const server_id& server, const engine_order& order, instant now)
{
    orders_[server][{.model = order.model, .adapter = order.adapter}] = {.order = order,
                                                                         .sent_at = now};
}

void order_tracker::record_taken(const server_id& server, const engine_order& order)
{
    orders_[server][{.model = order.model, .adapter = order.adapter}].taken = true;
}

void order_tracker::drop_taken(const server_id& server)
{
    std::erase_if(orders_[server], [](const auto& it) { return it.second.taken; });
}

void order_tracker::record_refused(const server_id& server, const engine_order& order)
{
    orders_[server].erase({.model = order.model, .adapter = order.adapter});
}

void order_tracker::settle(const server_id& server, const engine_report& report,
                           instant requested_at)
{
    std::erase_if(orders_[server],
                  [&](const auto& it)
                  {
                      const open_order& open = it.second;
                      return shows_effect(report, open.order) ||
                             requested_at - open.sent_at > max_order_delay_;
                  });
}

bool order_tracker::in_flight(const server_id& server, const order_target& target) const
{
    auto it = orders_.find(server);
    return it != orders_.end() && it->second.contains(target);
}

mebibytes order_tracker::pending_memory(const server_id& server) const
{
    mebibytes sum;
    for (const auto& order : orders(server))
    {
        if (is_load(order.kind))
        {
            sum += order.memory;
        }
    }
    return sum;
}

std::vector<engine_order> order_tracker::orders(const server_id& server) const
{
    std::vector<engine_order> all;
    auto it = orders_.find(server);
    if (it != orders_.end())
    {
        for (const auto& [target, open] : it->second)
        {
            all.push_back(open.order);
        }
    }
    return all;
}

} // namespace banyanshunt
