/// \file
/// Lesson 4: a token bucket is a value that changes only with the time passed to it. Run it with
/// `build/lesson-04-token-buckets`.

#include <fmt/format.h>

#include "coordination/token_bucket.hpp"
#include "state/invariant.hpp"

using namespace banyanshunt;

int main()
{
    test_clock clock;
    token_bucket bucket(millitokens_per_second(tokens(10).count()), tokens(50), clock.now());

    // A full bucket allows its burst at once, and nothing more.
    check_invariant(bucket.acquire(tokens(50), clock.now()), "a full bucket allows its burst");
    check_invariant(!bucket.acquire(tokens(1), clock.now()), "an empty bucket allows nothing");

    // The bucket states when enough tokens will be available, so that a refusal can include it.
    auto wait = bucket.time_until(tokens(5), clock.now());
    fmt::print("5 tokens are available in {} ms\n", wait->count());
    clock.advance(*wait);
    check_invariant(bucket.acquire(tokens(5), clock.now()),
                    "the tokens are available after that time");

    // Tokens that a request reserved and did not use are released.
    bucket.release(tokens(2), clock.now());
    fmt::print("left: {} tokens\n", bucket.level(clock.now()).count() / millitokens_per_token);
    return 0;
}
