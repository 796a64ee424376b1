#pragma once

/// \file
/// Checks over the grants of all hosts that no workspace exceeds its rate and burst: in any window
/// the sum of grants less refunds is at most burst + rate x window.

#include <algorithm>

#include "coordination/share_bucket.hpp"

namespace banyanshunt
{

/// Tracks the maximum excess of grants over rate x window, over all windows that end now.
class grant_checker
{
public:
    grant_checker(const share_size& fleet, instant now) : fleet_(fleet), updated_at_(now) {}

    /// Records a grant; call in order of time. A refund is a negative amount.
    void record(millitokens amount, instant now)
    {
        constexpr double nanoseconds_in_second = 1e9;
        double refilled = static_cast<double>((now - updated_at_).count()) / nanoseconds_in_second *
                          static_cast<double>(fleet_.rate.count());
        excess_ = std::max(0.0, excess_ - refilled);
        excess_ = std::max(0.0, excess_ + static_cast<double>(amount.count()));
        updated_at_ = now;
        max_excess_ = std::max(max_excess_, excess_);
        // One millitoken absorbs the rounding errors of this sum.
        exceeded_ = exceeded_ || excess_ > static_cast<double>(fleet_.depth.count()) + 1;
    }

    /// Whether any window exceeded its bound.
    bool exceeded() const { return exceeded_; }
    /// The maximum excess so far, in millitokens; at most the burst unless the bound was exceeded.
    double max_excess() const { return max_excess_; }

    /// Checks windows that start from now on against another rate and burst.
    void reset(const share_size& fleet, instant now)
    {
        fleet_ = fleet;
        updated_at_ = now;
        excess_ = 0;
    }
    const share_size& limits() const { return fleet_; }

private:
    share_size fleet_;
    instant updated_at_;
    double excess_ = 0;
    double max_excess_ = 0;
    bool exceeded_ = false;
};

} // namespace banyanshunt
