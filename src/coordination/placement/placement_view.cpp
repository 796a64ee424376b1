#include "coordination/placement/placement_view.hpp"

#include <algorithm>

namespace banyanshunt
{

mebibytes free_memory(const leased_server& server)
{
    mebibytes free = server.report.memory_total - server.report.memory_used;
    for (const auto& order : server.unsettled)
    {
        bool is_load =
            order.kind == order_kind::load_model || order.kind == order_kind::load_adapter;
        if (is_load)
        {
            free -= order.memory;
        }
    }
    return free;
}

bool in_flight(const leased_server& server, const order_target& target)
{
    return std::any_of(server.unsettled.begin(), server.unsettled.end(),
                       [&](const engine_order& order)
                       { return order.model == target.model && order.adapter == target.adapter; });
}

checkpoint_tier cached_tier(const engine_report& report, const model_id& model,
                            const version_id& version)
{
    checkpoint_tier best = checkpoint_tier::remote;
    for (const auto& cached : report.cached)
    {
        if (cached.model == model && cached.version == version)
        {
            best = std::min(best, cached.tier);
        }
    }
    return best;
}

} // namespace banyanshunt
