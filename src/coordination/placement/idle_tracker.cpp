#include "coordination/placement/idle_tracker.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

bool is_quiet(const leased_server& server, const held_replica& replica)
{
    bool ordered =
        std::any_of(server.unsettled.begin(), server.unsettled.end(),
                    [&](const engine_order& order) { return order.model == replica.model; });
    return replica.phase == replica_phase::ready && replica.running == 0 &&
           replica.adapters_loading.empty() && !ordered;
}

} // namespace

void idle_tracker::observe(const placement_view& view)
{
    std::set<model_id> waited_for;
    for (const auto& need : view.demands)
    {
        waited_for.insert(need.model);
        usage_.record_use(need.model, view.now);
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
            if (is_quiet(server, replica) && !waited_for.contains(replica.model))
            {
                replica_location place{.server = server.server, .model = replica.model};
                auto known = idle_since_.find(place);
                idle[place] = known == idle_since_.end() ? view.now : known->second;
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
    for (const auto& place : wanted)
    {
        retiring_.try_emplace(place, now);
    }
}

bool idle_tracker::retired(const replica_location& place, milliseconds grace, instant now) const
{
    auto it = retiring_.find(place);
    return it != retiring_.end() && now - it->second >= grace;
}

} // namespace banyanshunt
