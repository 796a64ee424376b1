#include "coordination/share_bucket.hpp"

#include <algorithm>

namespace banyanshunt
{

share_bucket::share_bucket(instant now) : bucket_(millitokens_per_second(0), millitokens(0), now) {}

void share_bucket::reshape(instant now)
{
    bucket_.reconfigure(size_.rate, std::max(size_.depth - out_, millitokens(0)), now);
}

void share_bucket::resize(const share_size& size, instant now)
{
    millitokens gained = size.depth - size_.depth;
    size_ = size;
    reshape(now);
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
    millitokens part = std::min(amount, level(now));
    if (size_.permits)
    {
        lend(part, now);
        return part;
    }
    bucket_.acquire(part, now);
    return part;
}

millitokens share_bucket::release_up_to(millitokens amount, instant now)
{
    if (size_.permits)
    {
        millitokens part = std::min(amount, out_);
        end_loan(part, part, now);
        return part;
    }
    millitokens part = std::min(amount, std::max(depth() - level(now), millitokens(0)));
    bucket_.release(part, now);
    return part;
}

void share_bucket::lend(millitokens amount, instant now)
{
    bucket_.acquire(amount, now);
    out_ += amount;
    reshape(now);
}

void share_bucket::end_loan(millitokens lent, millitokens returned, instant now)
{
    out_ -= lent;
    reshape(now);
    bucket_.release(returned, now);
}

} // namespace banyanshunt
