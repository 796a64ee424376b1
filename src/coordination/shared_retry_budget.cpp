#include "coordination/shared_retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace banyanshunt
{

namespace
{

/// The part of the stated budget that is used; the rest covers hosts that start anew.
constexpr double used_part = 0.8;
/// The part of a window's budget that may be kept from before it; with `used_part` it stays
/// below 1.
constexpr double kept_part = 0.15;

} // namespace

double shared_retry_budget::own_extra(std::size_t hosts) const
{
    return options_.extra * used_part / static_cast<double>(std::max<std::size_t>(hosts, 1));
}

double shared_retry_budget::most(std::size_t hosts) const
{
    return std::max(own_extra(hosts) / 2, 1.0) + options_.ratio * kept_part * recent_;
}

void shared_retry_budget::refill(std::size_t hosts, instant now)
{
    if (!begun_)
    {
        left_ = most(hosts);
        begun_ = true;
    }
    std::chrono::duration<double, std::milli> passed = now - filled_at_;
    filled_at_ = now;
    double windows = passed.count() / static_cast<double>(options_.window.count());
    recent_ *= std::exp(-windows);
    left_ = std::min(most(hosts), left_ + own_extra(hosts) / 2 * windows);
}

void shared_retry_budget::record_request(std::size_t hosts, instant now)
{
    refill(hosts, now);
    recent_ += 1;
    left_ = std::min(most(hosts), left_ + options_.ratio * used_part);
}

bool shared_retry_budget::acquire(std::size_t hosts, instant now)
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
