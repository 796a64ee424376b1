#pragma once

/// \file
/// Defines one failure domain's share of the weight store's limits. The shares of all domains add
/// up to the limits, so no domain has to ask another before it begins a load.

#include <vector>

#include "coordination/weight_store.hpp"
#include "state/clock.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// What one domain may use of the weight store.
struct load_share
{
    std::int64_t milliloads_per_second = 0;
    int max_loads = 0;
    int max_adapters = 0;
};

/// Splits the limits evenly; what does not divide goes to the first domains in the order of their
/// names. With more domains than loads at once each still gets one load: the store then slows
/// down, which breaks no promise, whereas a domain with none could never load.
load_share split_limits(const weight_store_limits& limits, std::vector<domain_id> domains,
                        const domain_id& own);

/// Where a planner asks whether it may begin another load from the weight store.
template <class T>
concept load_budget = requires(T& budget, const T& fixed, int in_transit, instant now)
{
    {
        fixed.share()
        } -> std::same_as<const load_share&>;
    {
        fixed.next_start(now)
        } -> std::same_as<instant>;
    {
        budget.record_start(now)
        } -> std::same_as<void>;
};

/// A share that stays as it is.
class fixed_load_budget
{
public:
    explicit fixed_load_budget(load_share share) : share_(share) {}

    const load_share& share() const { return share_; }
    void set_share(load_share share) { share_ = share; }
    /// The first time from `now` on when the rate allows another load.
    instant next_start(instant now) const { return std::max(now, next_); }
    /// Counts a load that begins at `now`.
    void record_start(instant now);

private:
    load_share share_;
    instant next_;
};

static_assert(load_budget<fixed_load_budget>);

} // namespace banyanshunt
