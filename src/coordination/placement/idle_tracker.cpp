#include "coordination/placement/idle_tracker.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

bool is_idle_replica(const leased_server& server, const held_replica& replica)
{
    bool has_open_order =
        std::any_of(server.unsettled.begin(), server.unsettled.end(),
                    [&](const engine_order& order) { return order.model == replica.model; });
    return replica.phase == replica_phase::ready && replica.running == 0 &&
           replica.adapters_loading.empty() && !has_open_order;
}

} // namespace

void idle_tracker::observe(const placement_view& view)
{
    std::set<model_id> demanded;
    for (const auto& demand : view.demands)
    {
        demanded.insert(demand.model);
        usage_.record_use(demand.model, view.now);
    }
    std::map<replica_location, instant> idle;
    for (const auto& server : view.servers)
    {
        for (const auto& replica : server.report.replicas)
        {
            if (replica.running > 0)
            {
                usage_.record_use(replica.model, view.now);
            }
            if (is_idle_replica(server, replica) && !demanded.contains(replica.model))
            {
                replica_location location{.server = server.server, .model = replica.model};
                auto previous = idle_since_.find(location);
                idle[location] = previous == idle_since_.end() ? view.now : previous->second;
            }
        }
    }
    idle_since_ = std::move(idle);
}

std::optional<idle_replica> idle_tracker::find(const leased_server& server,
                                               const held_replica& replica, instant now) const
{
    auto it = idle_since_.find({.server = server.server, .model = replica.model});
    if (it == idle_since_.end())
    {
        return std::nullopt;
    }
    const model_usage* usage = usage_.find(replica.model);
    return idle_replica{.server = server.server,
                        .model = replica.model,
                        .memory = replica.memory,
                        .idle = now - it->second,
                        .mean_gap = usage ? usage->mean_gap : nanoseconds(0),
                        .reload = {}};
}

void idle_tracker::retire(const std::set<replica_location>& wanted, instant now)
{
    std::erase_if(retiring_, [&](const auto& it) { return !wanted.contains(it.first); });
    for (const auto& location : wanted)
    {
        retiring_.try_emplace(location, now);
    }
}

bool idle_tracker::retired(const replica_location& location, milliseconds grace, instant now) const
{
    auto it = retiring_.find(location);
    return it != retiring_.end() && now - it->second >= grace;
}

} // namespace banyanshunt
