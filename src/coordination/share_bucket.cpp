#include "coordination/share_bucket.hpp"

#include <algorithm>

namespace banyanshunt
{

share_bucket::share_bucket(instant now) : bucket_(millitokens_per_second(0), millitokens(0), now) {}

void share_bucket::apply_size(instant now)
{
    bucket_.reconfigure(size_.rate, std::max(size_.depth - outstanding_, millitokens(0)), now);
}

void share_bucket::resize(const share_size& size, instant now)
{
    millitokens gained = size.depth - size_.depth;
    size_ = size;
    apply_size(now);
    if (size.permits && gained > millitokens(0))
    {
        bucket_.release(gained, now);
    }
}

void share_bucket::fill(instant now)
{
    release_up_to(depth(), now);
}

millitokens share_bucket::acquire_up_to(millitokens amount, instant now)
{
    millitokens taken = std::min(amount, level(now));
    if (size_.permits)
    {
        lend(taken, now);
        return taken;
    }
    bucket_.acquire(taken, now);
    return taken;
}

millitokens share_bucket::release_up_to(millitokens amount, instant now)
{
    if (size_.permits)
    {
        millitokens returned = std::min(amount, outstanding_);
        end_loan(returned, returned, now);
        return returned;
    }
    millitokens returned = std::min(amount, std::max(depth() - level(now), millitokens(0)));
    bucket_.release(returned, now);
    return returned;
}

void share_bucket::lend(millitokens amount, instant now)
{
    bucket_.acquire(amount, now);
    outstanding_ += amount;
    apply_size(now);
}

void share_bucket::end_loan(millitokens lent, millitokens returned, instant now)
{
    outstanding_ -= lent;
    apply_size(now);
    bucket_.release(returned, now);
}

} // namespace banyanshunt
