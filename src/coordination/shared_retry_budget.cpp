#include "coordination/shared_retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace banyanshunt
{

namespace
{

/// Fraction of the stated budget that is used; the rest covers hosts that restart.
constexpr double used_ratio = 0.8;
/// Fraction of a window's budget that may be carried over from before it; its sum with `used_ratio`
/// stays below 1.
constexpr double carried_ratio = 0.15;

} // namespace

double shared_retry_budget::own_extra_retries(std::size_t hosts) const
{
    return options_.extra * used_ratio / static_cast<double>(std::max<std::size_t>(hosts, 1));
}

double shared_retry_budget::capacity(std::size_t hosts) const
{
    return std::max(own_extra_retries(hosts) / 2, 1.0) +
           options_.ratio * carried_ratio * recent_requests_;
}

void shared_retry_budget::refill(std::size_t hosts, instant now)
{
    if (!initialized_)
    {
        available_ = capacity(hosts);
        initialized_ = true;
    }
    std::chrono::duration<double, std::milli> passed = now - refilled_at_;
    refilled_at_ = now;
    double windows = passed.count() / static_cast<double>(options_.window.count());
    recent_requests_ *= std::exp(-windows);
    available_ = std::min(capacity(hosts), available_ + own_extra_retries(hosts) / 2 * windows);
}

void shared_retry_budget::record_request(std::size_t hosts, instant now)
{
    refill(hosts, now);
    recent_requests_ += 1;
    available_ = std::min(capacity(hosts), available_ + options_.ratio * used_ratio);
}

bool shared_retry_budget::acquire(std::size_t hosts, instant now)
{
    refill(hosts, now);
    if (available_ < 1)
    {
        return false;
    }
    available_ -= 1;
    return true;
}

} // namespace banyanshunt
