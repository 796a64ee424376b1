#include "coordination/load_spread.hpp"

#include <algorithm>
#include <numeric>

namespace banyanshunt
{

std::size_t choose_spread(const std::vector<spread_candidate>& candidates, double unseen,
                          double draw)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b)
                     { return candidates[a].cost < candidates[b].cost; });
    if (unseen <= 0)
    {
        return order.front();
    }
    // The level up to which the requests fill the servers, from the cheapest one on.
    const double requests = unseen + 1;
    double capacity = 0;
    double filled = 0;
    double level = 0;
    std::size_t used = 0;
    while (used < order.size())
    {
        const auto& next = candidates[order[used]];
        if (used > 0 && level <= next.cost)
        {
            break;
        }
        capacity += next.capacity;
        filled += next.cost * next.capacity;
        level = (requests + filled) / capacity;
        ++used;
    }
    double left = draw * requests;
    for (std::size_t n = 0; n < used; ++n)
    {
        const auto& it = candidates[order[n]];
        left -= (level - it.cost) * it.capacity;
        if (left < 0)
        {
            return order[n];
        }
    }
    return order[used - 1];
}

} // namespace banyanshunt
