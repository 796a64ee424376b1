#include "coordination/placement/load_budget.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

// Thousandths of a load, and nanoseconds in a second.
constexpr std::int64_t one_load = 1000;
constexpr std::int64_t second = 1'000'000'000;

template <class Number>
Number part_of(Number whole, Number parts, Number place)
{
    return whole / parts + (place < whole % parts ? 1 : 0);
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
    auto place = static_cast<int>(it - domains.begin());
    auto parts = static_cast<int>(domains.size());
    return {.milliloads_per_second =
                part_of<std::int64_t>(limits.milliloads_per_second, parts, place),
            .max_loads = std::max(part_of(limits.full_speed_loads, parts, place), 1),
            .max_adapters = std::max(part_of(limits.full_speed_adapters, parts, place), 1)};
}

void fixed_load_budget::record_start(instant now)
{
    std::int64_t rate = std::max<std::int64_t>(share_.milliloads_per_second, 1);
    next_ = next_start(now) + nanoseconds(one_load * second / rate);
}

} // namespace banyanshunt
