/// \file
/// Lesson 4: a token bucket is a value that moves only with the time it is told. Run it with
/// `build/lesson-04-token-buckets`.

#include <fmt/format.h>

#include "coordination/token_bucket.hpp"
#include "state/invariant.hpp"

using namespace banyanshunt;

int main()
{
    test_clock clock;
    token_bucket bucket(millitokens_per_second(tokens(10).count()), tokens(50), clock.now());

    // A full bucket allows its burst at once, and nothing beyond.
    check_invariant(bucket.acquire(tokens(50), clock.now()), "the burst is there");
    check_invariant(!bucket.acquire(tokens(1), clock.now()), "and no more");

    // A refusal can say when to come back.
    auto wait = bucket.time_until(tokens(5), clock.now());
    fmt::print("5 tokens are there in {} ms\n", wait->count());
    clock.advance(*wait);
    check_invariant(bucket.acquire(tokens(5), clock.now()), "the promise was kept");

    // What a request reserved and did not use goes back.
    bucket.release(tokens(2), clock.now());
    fmt::print("left: {} tokens\n", bucket.level(clock.now()).count() / millitokens_per_token);
    return 0;
}
