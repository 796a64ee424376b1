#include "coordination/placement/load_budget.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr std::int64_t milliloads_per_load = 1000;
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

template <class Number>
Number share_of(Number total, Number shares, Number index)
{
    return total / shares + (index < total % shares ? 1 : 0);
}

} // namespace

load_share split_limits(const weight_store_limits& limits, std::vector<domain_id> domains,
                        const domain_id& own)
{
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    auto it = std::find(domains.begin(), domains.end(), own);
    if (it == domains.end())
    {
        return {};
    }
    auto index = static_cast<int>(it - domains.begin());
    auto shares = static_cast<int>(domains.size());
    return {.milliloads_per_second =
                share_of<std::int64_t>(limits.milliloads_per_second, shares, index),
            .max_loads = std::max(share_of(limits.full_speed_loads, shares, index), 1),
            .max_adapters = std::max(share_of(limits.full_speed_adapters, shares, index), 1)};
}

void fixed_load_budget::record_start(instant now)
{
    std::int64_t rate = std::max<std::int64_t>(share_.milliloads_per_second, 1);
    next_ = next_start(now) + nanoseconds(milliloads_per_load * nanoseconds_per_second / rate);
}

} // namespace banyanshunt
