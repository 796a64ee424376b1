#pragma once

/// \file
/// The platform's rule on the limits that servers state, for tests and the soak.

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

namespace banyanshunt
{

/// The window in which arrivals are counted, and what it allows: a factor on the limit, and
/// requests beyond it.
inline constexpr std::chrono::seconds limit_window{4};
inline constexpr double limit_factor = 1.5;
inline constexpr double limit_extra = 5;
/// How long after a server first stated a limit the first window may end.
inline constexpr std::chrono::seconds limit_contact_time{3};

/// The most requests in a window that the rule allows.
inline double allowed_arrivals(double per_second)
{
    return limit_factor * per_second * static_cast<double>(limit_window.count()) + limit_extra;
}

/// The most arrivals in any window that ends between the end of the contact time and `until`.
template <class Instant>
std::size_t peak_arrivals(std::vector<Instant> arrivals, Instant stated_at, Instant until)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::deque<Instant> window;
    std::size_t peak = 0;
    for (const auto& at : arrivals)
    {
        window.push_back(at);
        while (at - window.front() > limit_window)
        {
            window.pop_front();
        }
        if (at >= stated_at + limit_contact_time && at <= until)
        {
            peak = std::max(peak, window.size());
        }
    }
    return peak;
}

} // namespace banyanshunt
