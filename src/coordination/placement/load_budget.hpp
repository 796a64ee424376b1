#pragma once

/// \file
/// Computes one failure domain's share of the weight store's limits. The shares of all domains add
/// up to the limits, so a domain can start a load without coordinating with the others.

#include <vector>

#include "coordination/weight_store.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// The part of the weight store's limits that one domain may use.
struct load_share
{
    std::int64_t milliloads_per_second = 0;
    int max_loads = 0;
    int max_adapters = 0;
};

/// Splits the limits evenly; the remainder goes to the first domains by name. Each domain gets at
/// least one concurrent load, even with more domains than concurrent loads: the store then slows
/// down, which breaks no guarantee, whereas a domain without a load could never load a model.
load_share split_limits(const weight_store_limits& limits, std::vector<domain_id> domains,
                        const domain_id& own);

/// Tells a planner when it may start another load from the weight store.
template <class T>
concept load_budget = requires(T& budget, const T& const_budget, int in_transit, instant now)
{
    {
        const_budget.share()
        } -> std::same_as<const load_share&>;
    {
        const_budget.next_start(now)
        } -> std::same_as<instant>;
    {
        budget.record_start(now)
        } -> std::same_as<void>;
};

/// A budget whose share changes only through `set_share`.
class fixed_load_budget
{
public:
    explicit fixed_load_budget(load_share share) : share_(share) {}

    const load_share& share() const { return share_; }
    void set_share(load_share share) { share_ = share; }
    /// The earliest time, not before `now`, at which the rate allows another load.
    instant next_start(instant now) const { return std::max(now, next_); }
    /// Records a load that starts at `now`.
    void record_start(instant now);

private:
    load_share share_;
    instant next_;
};

static_assert(load_budget<fixed_load_budget>);

} // namespace banyanshunt
