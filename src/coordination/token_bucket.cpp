#include "coordination/token_bucket.hpp"

#include <algorithm>

#include "state/invariant.hpp"

namespace banyanshunt
{
namespace
{

__extension__ using wide_int = __int128;

constexpr std::int64_t nanoseconds_in_second = 1'000'000'000;
constexpr std::int64_t nanoseconds_in_millisecond = 1'000'000;

// The time in which `amount` refills at `rate`, rounded up.
std::int64_t nanoseconds_for(millitokens amount, millitokens_per_second rate)
{
    auto wide = static_cast<wide_int>(amount.count()) * nanoseconds_in_second;
    auto rounded_up = (wide + rate.count() - 1) / rate.count();
    return static_cast<std::int64_t>(std::min<wide_int>(rounded_up, INT64_MAX));
}

} // namespace

token_bucket::token_bucket(millitokens_per_second rate, millitokens depth, instant now)
    : rate_(rate), depth_(depth), level_(depth), filled_at_(now)
{
}

void token_bucket::refill(instant now)
{
    if (now <= filled_at_)
    {
        return;
    }
    auto wide = static_cast<wide_int>((now - filled_at_).count()) * rate_.count();
    auto gained = wide / nanoseconds_in_second;
    if (gained >= (depth_ - level_).count())
    {
        level_ = std::max(level_, depth_);
        filled_at_ = now;
        return;
    }
    // The time in which the added millitokens refill counts as used, rounded up, so that the bucket
    // never refills faster than the rate.
    millitokens added(static_cast<std::int64_t>(gained));
    level_ += added;
    if (added.count() > 0)
    {
        auto used = (gained * nanoseconds_in_second + rate_.count() - 1) / rate_.count();
        filled_at_ += std::chrono::nanoseconds(static_cast<std::int64_t>(used));
    }
}

bool token_bucket::acquire(millitokens amount, instant now)
{
    refill(now);
    if (amount > level_)
    {
        return false;
    }
    level_ -= amount;
    return true;
}

void token_bucket::release(millitokens amount, instant now)
{
    check_invariant(amount.count() >= 0, "a negative amount was released");
    refill(now);
    level_ = std::min(level_ + amount, std::max(depth_, level_));
}

millitokens token_bucket::level(instant now)
{
    refill(now);
    return level_;
}

std::optional<milliseconds> token_bucket::time_until(millitokens amount, instant now)
{
    refill(now);
    if (amount <= level_)
    {
        return milliseconds(0);
    }
    if (amount > depth_ || rate_.count() == 0)
    {
        return std::nullopt;
    }
    auto ns = nanoseconds_for(amount - level_, rate_);
    return milliseconds(ns / nanoseconds_in_millisecond + 1);
}

void token_bucket::reconfigure(millitokens_per_second rate, millitokens depth, instant now)
{
    refill(now);
    rate_ = rate;
    depth_ = depth;
    level_ = std::min(level_, depth_);
}

void token_bucket::skip_refill(instant from, instant to)
{
    refill(from);
    filled_at_ = std::max(filled_at_, to);
}

} // namespace banyanshunt
