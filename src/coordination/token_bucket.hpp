#pragma once

/// \file
/// Defines a token bucket with exact whole-number arithmetic, as a value.

#include <optional>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Fills at `rate` up to `depth`. The same calls at the same times give the same answers.
class token_bucket
{
public:
    /// Begins full at `now`.
    token_bucket(millitokens_per_second rate, millitokens depth, instant now);

    /// Takes `amount` if it is there.
    bool acquire(millitokens amount, instant now);
    /// Puts back what was taken and not used; what does not fit is lost.
    void release(millitokens amount, instant now);
    /// What could be taken at `now`.
    millitokens level(instant now);
    /// How long until `amount` can be taken; nothing if it never can.
    std::optional<milliseconds> time_until(millitokens amount, instant now);
    /// Changes rate and depth; a lower depth cuts the level, a higher one adds nothing.
    void reconfigure(millitokens_per_second rate, millitokens depth, instant now);
    /// Counts refill up to `from`, and none between `from` and `get`.
    void skip_refill(instant from, instant to);

    millitokens_per_second rate() const { return rate_; }
    millitokens depth() const { return depth_; }

private:
    void refill(instant now);

    millitokens_per_second rate_;
    millitokens depth_;
    millitokens level_;
    /// The time up to which refill has been counted.
    instant filled_at_;
};

} // namespace banyanshunt
