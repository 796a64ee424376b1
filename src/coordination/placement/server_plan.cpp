#include "coordination/placement/server_plan.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

int adapters_in_transit_to(const leased_server& server)
{
    int sum = 0;
    for (const auto& replica : server.report.replicas)
    {
        sum += static_cast<int>(replica.adapters_loading.size());
    }
    for (const auto& order : server.unsettled)
    {
        sum += order.kind == order_kind::load_adapter ? 1 : 0;
    }
    return sum;
}

} // namespace

std::vector<server_plan> make_server_plans(const placement_view& view)
{
    std::vector<server_plan> plans;
    plans.reserve(view.servers.size());
    for (const auto& server : view.servers)
    {
        plans.push_back({.server = &server, .free = free_memory(server)});
    }
    return plans;
}

int adapters_in_transit(const placement_view& view)
{
    int sum = 0;
    for (const auto& server : view.servers)
    {
        sum += adapters_in_transit_to(server);
    }
    return sum;
}

model_progress progress_of(std::vector<server_plan>& plans, const model_id& model,
                           const std::set<replica_location>& retiring)
{
    model_progress progress;
    for (auto& it : plans)
    {
        const leased_server& server = *it.server;
        const held_replica* replica = find_replica(server.report, model);
        bool is_retiring = retiring.contains({.server = server.server, .model = model});
        bool order_in_flight = in_flight(server, {.model = model, .adapter = {}});
        if (replica && replica->phase == replica_phase::ready && !is_retiring && !order_in_flight)
        {
            progress.ready.push_back(&it);
        }
        else if ((replica && replica->phase == replica_phase::loading) ||
                 (!replica && order_in_flight))
        {
            progress.loading = true;
            progress.loading_on = server.server;
        }
    }
    return progress;
}

std::vector<server_plan*> servers_for_load(std::vector<server_plan>& plans, const model_id& model,
                                           const model_object& object, nanoseconds demand_age,
                                           milliseconds spread_after)
{
    struct ranked
    {
        server_plan* it;
        bool lacks_memory;
        checkpoint_tier tier;
        int index;
    };
    std::vector<ranked> usable;
    for (auto& it : plans)
    {
        const leased_server& server = *it.server;
        auto slot = server.slots.find(model);
        bool may_load = slot != server.slots.end() && !server.leaving &&
                        !find_replica(server.report, model) &&
                        !in_flight(server, {.model = model, .adapter = {}});
        if (may_load && demand_age >= spread_after * slot->second)
        {
            usable.push_back({.it = &it,
                              .lacks_memory = it.free < object.memory,
                              .tier = cached_tier(server.report, model, object.version),
                              .index = slot->second});
        }
    }
    std::sort(usable.begin(), usable.end(),
              [](const ranked& a, const ranked& b) {
                  return std::tie(a.lacks_memory, a.tier, a.index) <
                         std::tie(b.lacks_memory, b.tier, b.index);
              });
    std::vector<server_plan*> servers;
    servers.reserve(usable.size());
    for (const auto& it : usable)
    {
        servers.push_back(it.it);
    }
    return servers;
}

planned_order make_order(const leased_server& server, order_kind kind, const model_id& model,
                         const version_id& version, mebibytes memory)
{
    return {.server = server.server,
            .order = {.kind = kind,
                      .model = model,
                      .version = version,
                      .adapter = {},
                      .memory = memory,
                      .fencing = server.fencing}};
}

} // namespace banyanshunt
