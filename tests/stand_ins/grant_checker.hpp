#pragma once

/// \file
/// Defines the check that no workspace got more than its rate and burst, over the grants of all
/// hosts: in any window the sum of grants less refunds is at most burst + rate x window.

#include <algorithm>

#include "coordination/share_bucket.hpp"

namespace banyanshunt
{

/// Follows the worst window that ends now: the greatest excess of grants over rate x window.
class grant_checker
{
public:
    grant_checker(const share_size& fleet, instant now) : fleet_(fleet), at_(now) {}

    /// Grants come in order of time; a refund is a negative amount.
    void record(millitokens amount, instant now)
    {
        constexpr double nanoseconds_in_second = 1e9;
        double drained = static_cast<double>((now - at_).count()) / nanoseconds_in_second *
                         static_cast<double>(fleet_.rate.count());
        excess_ = std::max(0.0, excess_ - drained);
        excess_ = std::max(0.0, excess_ + static_cast<double>(amount.count()));
        at_ = now;
        worst_ = std::max(worst_, excess_);
        // A thousandth of a token absorbs the rounding of this very sum.
        over_ = over_ || excess_ > static_cast<double>(fleet_.depth.count()) + 1;
    }

    /// Whether some window had too much.
    bool exceeded() const { return over_; }
    /// The greatest excess so far, in millitokens; at most the burst if all is well.
    double max_excess() const { return worst_; }

    /// Judges windows that begin from now on by another rate and burst.
    void reset(const share_size& fleet, instant now)
    {
        fleet_ = fleet;
        at_ = now;
        excess_ = 0;
    }
    const share_size& limits() const { return fleet_; }

private:
    share_size fleet_;
    instant at_;
    double excess_ = 0;
    double worst_ = 0;
    bool over_ = false;
};

} // namespace banyanshunt
