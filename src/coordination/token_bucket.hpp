#pragma once

/// \file
/// A token bucket with exact integer arithmetic, as a value type.

#include <optional>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Refills at `rate` up to `depth`. The same calls at the same times give the same results.
class token_bucket
{
public:
    /// Starts full at `now`.
    token_bucket(millitokens_per_second rate, millitokens depth, instant now);

    /// Acquires `amount` if it is available.
    bool acquire(millitokens amount, instant now);
    /// Releases acquired tokens that were not used; those that exceed the depth are lost.
    void release(millitokens amount, instant now);
    /// The amount that could be acquired at `now`.
    millitokens level(instant now);
    /// The time until `amount` can be acquired; nothing if it never can.
    std::optional<milliseconds> time_until(millitokens amount, instant now);
    /// Changes rate and depth. A lower depth caps the level; a higher one adds no tokens.
    void reconfigure(millitokens_per_second rate, millitokens depth, instant now);
    /// Counts refill up to `from`, and none between `from` and `to`.
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
