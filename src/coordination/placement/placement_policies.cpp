#include "coordination/placement/placement_policies.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

double in_seconds(nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Waiting requests per second of loading, discounted for a workspace that had many loads recently.
double benefit(const load_candidate& it)
{
    double cost = std::max(in_seconds(it.duration), 0.001);
    return it.demand.waiting / cost / (1.0 + it.workspace_loads);
}

// Expected cost of the reload, per mebibyte that evicting the replica frees.
double eviction_cost(const idle_replica& it)
{
    double gap = std::max(in_seconds(std::max(it.mean_gap, it.idle)), 1.0);
    // A reload of unknown duration counts as a short one.
    double reload = std::max(in_seconds(it.reload), 0.001);
    return reload / gap / static_cast<double>(std::max(it.memory.count(), 1L));
}

} // namespace

bool fifo_policy::load_before(const load_candidate& a, const load_candidate& b, instant) const
{
    return a.since != b.since ? a.since < b.since : a.demand.model < b.demand.model;
}

bool fifo_policy::evict_before(const idle_replica& x, const idle_replica& y) const
{
    return x.idle != y.idle ? x.idle > y.idle : x.model < y.model;
}

bool expected_use_policy::load_before(const load_candidate& a, const load_candidate& b,
                                      instant) const
{
    double benefit_a = benefit(a);
    double benefit_b = benefit(b);
    return benefit_a != benefit_b ? benefit_a > benefit_b : a.demand.model < b.demand.model;
}

nanoseconds expected_use_policy::keep_alive(const idle_replica& it) const
{
    if (it.mean_gap == nanoseconds(0))
    {
        return options_.default_keep_alive;
    }
    nanoseconds wanted = it.mean_gap * options_.gaps_kept;
    // A replica that would expire before its next expected use is kept only for the minimum.
    bool used_too_rarely = it.mean_gap > options_.max_keep_alive;
    return used_too_rarely
               ? options_.min_keep_alive
               : std::clamp<nanoseconds>(wanted, options_.min_keep_alive, options_.max_keep_alive);
}

bool expected_use_policy::evict_before(const idle_replica& x, const idle_replica& y) const
{
    double cost_x = eviction_cost(x);
    double cost_y = eviction_cost(y);
    return cost_x != cost_y ? cost_x < cost_y : x.model < y.model;
}

} // namespace banyanshunt
