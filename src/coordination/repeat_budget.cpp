#include "coordination/repeat_budget.hpp"

#include <algorithm>

namespace banyanshunt
{

namespace
{

/// The part of the stated budget that is used; the rest covers hosts that start anew.
constexpr double used_part = 0.8;

} // namespace

void repeat_budget::refill(std::size_t hosts, instant now)
{
    double own = options_.extra * used_part / static_cast<double>(std::max<std::size_t>(hosts, 1));
    double most = std::max(own / 2, 1.0);
    if (!begun_)
    {
        left_ = most;
        begun_ = true;
    }
    std::chrono::duration<double, std::milli> passed = now - filled_at_;
    filled_at_ = now;
    left_ = std::min(most, left_ + own / 2 * passed.count() /
                                       static_cast<double>(options_.window.count()));
}

void repeat_budget::note_request(std::size_t hosts, instant now)
{
    refill(hosts, now);
    double own = options_.extra * used_part / static_cast<double>(std::max<std::size_t>(hosts, 1));
    left_ = std::min(std::max(own / 2, 1.0), left_ + options_.ratio * used_part);
}

bool repeat_budget::take(std::size_t hosts, instant now)
{
    refill(hosts, now);
    if (left_ < 1)
    {
        return false;
    }
    left_ -= 1;
    return true;
}

} // namespace banyanshunt
