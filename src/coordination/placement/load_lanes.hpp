#pragma once

/// \file
/// Forecasts when further loads from the weight store can start. It has one lane for each load that
/// may run concurrently, and the rate limit spaces the starts.

#include <algorithm>
#include <vector>

#include "coordination/placement/load_budget.hpp"

namespace banyanshunt
{

/// A forecast made at one time; `reserve` adds a load to it.
class load_lanes
{
public:
    /// `busy_until` holds the expected ends of the loads in flight; `next_start` is the time at
    /// which the rate limit allows another load.
    load_lanes(const load_share& share, std::vector<instant> busy_until, instant next_start)
        : free_at_(std::move(busy_until)), next_start_(next_start),
          spacing_(std::chrono::seconds(1000) /
                   std::max<std::int64_t>(share.milliloads_per_second, 1))
    {
        auto lanes = static_cast<std::size_t>(std::max(share.max_loads, 1));
        full_ = free_at_.size() >= lanes;
        free_at_.resize(std::max(free_at_.size(), lanes), instant());
        std::sort(free_at_.begin(), free_at_.end(), std::greater<>());
        free_at_.resize(lanes);
    }

    /// When the next load can start. This is later than `now` while every lane is busy, even if a
    /// load in flight is overdue.
    instant next(instant now) const
    {
        constexpr milliseconds overdue_recheck(100);
        instant lane = *std::min_element(free_at_.begin(), free_at_.end());
        instant earliest = full_ ? now + overdue_recheck : now;
        return std::max({lane, next_start_, earliest});
    }

    /// Reserves a lane for a load that starts at `start`.
    void reserve(instant start, nanoseconds duration)
    {
        *std::min_element(free_at_.begin(), free_at_.end()) = start + duration;
        next_start_ = start + spacing_;
        full_ = full_ || std::all_of(free_at_.begin(), free_at_.end(),
                                     [&](instant it) { return it > start; });
    }

private:
    std::vector<instant> free_at_;
    instant next_start_;
    nanoseconds spacing_;
    bool full_ = false;
};

} // namespace banyanshunt
