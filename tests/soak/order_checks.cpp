#include "soak/order_checks.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace banyanshunt::soak
{

namespace
{

using steady_instant = std::chrono::steady_clock::time_point;

/// The platform's allowance for orders that arrive after their sender was resumed, or after the
/// link that held them up went on.
constexpr std::chrono::milliseconds arrival_slack{300};

template <class Key>
bool follows_end(const std::map<Key, std::vector<steady_instant>>& ends, const Key& key,
                 steady_instant at)
{
    auto it = ends.find(key);
    return it != ends.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](auto end) { return end <= at && at - end <= arrival_slack; });
}

} // namespace

order_findings check_orders(const soak_fleet& fleet, const order_disturbances& history)
{
    using seconds = std::chrono::duration<double>;
    order_findings findings;
    for (std::size_t n = 0; n < fleet.backends.size(); ++n)
    {
        auto orders = fleet.backends[n]->received_orders();
        std::stable_sort(orders.begin(), orders.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        const received_order* highest = nullptr;
        const received_order* last = nullptr;
        for (const auto& order : orders)
        {
            if (follows_end(history.resumed, order.holder, order.at) ||
                follows_end(history.restored_links, n, order.at))
            {
                ++findings.excused;
                continue;
            }
            ++findings.judged;
            auto add = [&](const char* what, const received_order& before)
            {
                findings.violations.push_back(fmt::format(
                    "orders: {} received {}: {} with {} (response {}) at {:.3f} s, {:.3f} s after "
                    "{} with {} (response {})",
                    soak_fleet::server_name(n), what, order.holder, order.fence, order.status,
                    seconds(order.at - history.begun).count(),
                    seconds(order.at - before.at).count(), before.holder, before.fence,
                    before.status));
            };
            if (highest && order.fence < highest->fence)
            {
                add("a lower fencing number after a higher one", *highest);
            }
            if (highest && order.fence == highest->fence && order.holder != highest->holder)
            {
                add("one fencing number of two hosts", *highest);
            }
            if (last && last->holder != order.holder && order.at - last->at < soak_fleet::lease)
            {
                add("orders of two hosts within the lease", *last);
            }
            highest = !highest || order.fence > highest->fence ? &order : highest;
            last = &order;
        }
    }
    return findings;
}

} // namespace banyanshunt::soak
