#include "coordination/replica_choice.hpp"

#include <tuple>

namespace banyanshunt
{
namespace
{

bool can_serve(const ready_replica& replica, const replica_filter& filter)
{
    bool has_adapter = filter.adapter.empty() || replica.adapters.contains(filter.adapter);
    return !replica.leaving && replica.model == filter.model && has_adapter;
}

bool better(const ready_replica& a, const ready_replica& b)
{
    return std::tuple(a.load, !a.near, a.server) < std::tuple(b.load, !b.near, b.server);
}

} // namespace

std::optional<ready_replica> choose_replica(const replica_table& table,
                                            const replica_filter& filter)
{
    const ready_replica* best = nullptr;
    for (const auto& replica : table.replicas)
    {
        if (can_serve(replica, filter) && (!best || better(replica, *best)))
        {
            best = &replica;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace banyanshunt
