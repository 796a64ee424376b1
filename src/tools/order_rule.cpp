#include "tools/order_rule.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace banyanshunt
{

std::optional<std::chrono::steady_clock::time_point> order_time(const received_order& order,
                                                                order_dating dating)
{
    return dating == order_dating::arrival ? std::optional(order.at) : order.carried_out_at;
}

const char* to_text(order_breach_kind it)
{
    switch (it)
    {
    case order_breach_kind::lower_fence:
        return "a lower fencing number after a higher one";
    case order_breach_kind::shared_fence:
        return "one fencing number of two hosts";
    case order_breach_kind::within_lease:
        return "orders of two hosts within the lease";
    }
    return "unknown";
}

order_judgement judge_orders(const std::vector<received_order>& orders, order_dating dating,
                             std::chrono::milliseconds lease,
                             const std::function<bool(const received_order&)>& is_excused)
{
    order_judgement judgement;
    std::vector<std::size_t> sequence;
    for (std::size_t n = 0; n < orders.size(); ++n)
    {
        if (order_time(orders[n], dating))
        {
            sequence.push_back(n);
        }
    }
    auto time = [&](std::size_t n) { return *order_time(orders[n], dating); };
    std::stable_sort(sequence.begin(), sequence.end(),
                     [&](std::size_t a, std::size_t b) { return time(a) < time(b); });
    std::optional<std::size_t> highest;
    std::optional<std::size_t> last;
    std::map<std::int64_t, std::size_t> first_of_fence;
    for (std::size_t n : sequence)
    {
        const auto& order = orders[n];
        if (is_excused(order))
        {
            ++judgement.excused;
            continue;
        }
        ++judgement.judged;
        if (highest && order.fence < orders[*highest].fence)
        {
            judgement.breaches.push_back({order_breach_kind::lower_fence, *highest, n});
        }
        // However long ago that was, and whether or not the engine has restarted since.
        auto first = first_of_fence.try_emplace(order.fence, n).first->second;
        if (order.holder != orders[first].holder)
        {
            judgement.breaches.push_back({order_breach_kind::shared_fence, first, n});
        }
        if (last && orders[*last].holder != order.holder && time(n) - time(*last) < lease)
        {
            judgement.breaches.push_back({order_breach_kind::within_lease, *last, n});
        }
        highest = !highest || order.fence > orders[*highest].fence ? n : *highest;
        last = n;
    }
    return judgement;
}

std::string describe(const order_breach& breach, const std::vector<received_order>& orders,
                     order_dating dating, std::chrono::steady_clock::time_point begun)
{
    using seconds = std::chrono::duration<double>;
    const auto& before = orders[breach.before];
    const auto& after = orders[breach.after];
    auto at = order_time(after, dating).value_or(after.at);
    auto before_at = order_time(before, dating).value_or(before.at);
    return fmt::format("{} (by {}): {} with {} (response {}), which arrived at {:.3f} s, at {:.3f} "
                       "s, {:.3f} s after {} with {} (response {})",
                       to_text(breach.kind), dating == order_dating::arrival ? "arrival" : "effect",
                       after.holder, after.fence, after.status, seconds(after.at - begun).count(),
                       seconds(at - begun).count(), seconds(at - before_at).count(), before.holder,
                       before.fence, before.status);
}

} // namespace banyanshunt
