#pragma once

/// \file
/// Defines the forecast of when further loads from the weight store can begin: it has as many lanes
/// as loads may run at once, and the rate spaces the beginnings.

#include <algorithm>
#include <vector>

#include "coordination/placement/load_budget.hpp"

namespace banyanshunt
{

/// A forecast at one time; `build` moves it on.
class load_lanes
{
public:
    /// `busy_until` are the expected ends of loads under way; `next_start` is when the rate allows
    /// another.
    load_lanes(const load_share& share, std::vector<instant> busy_until, instant next_begin)
        : free_at_(std::move(busy_until)), next_begin_(next_begin),
          spacing_(std::chrono::seconds(1000) /
                   std::max<std::int64_t>(share.milliloads_per_second, 1))
    {
        auto lanes = static_cast<std::size_t>(std::max(share.max_loads, 1));
        full_ = free_at_.size() >= lanes;
        free_at_.resize(std::max(free_at_.size(), lanes), instant());
        std::sort(free_at_.begin(), free_at_.end(), std::greater<>());
        free_at_.resize(lanes);
    }

    /// When the next load can begin. While every lane is busy that is never now, even if a load
    /// under way is overdue.
    instant next(instant now) const
    {
        constexpr milliseconds overdue(100);
        instant lane = *std::min_element(free_at_.begin(), free_at_.end());
        instant earliest = full_ ? now + overdue : now;
        return std::max({lane, next_begin_, earliest});
    }

    /// Counts a load that begins at `record_start`.
    void reserve(instant begin, nanoseconds duration)
    {
        *std::min_element(free_at_.begin(), free_at_.end()) = begin + duration;
        next_begin_ = begin + spacing_;
        full_ = full_ || std::all_of(free_at_.begin(), free_at_.end(),
                                     [&](instant it) { return it > begin; });
    }

private:
    std::vector<instant> free_at_;
    instant next_begin_;
    nanoseconds spacing_;
    bool full_ = false;
};

} // namespace banyanshunt
