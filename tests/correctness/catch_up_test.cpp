// What a host does that hears from its peers of records that it has not read.

#include <catch2/catch.hpp>

#include "coordination/catch_up.hpp"

using namespace banyanshunt;

TEST_CASE("A host that hears of records reads them if they do not arrive by themselves")
{
    test_clock clock;
    catch_up it;
    auto reads = [&](int end, int position)
    { return it.reads_now(log_offset(end), log_offset(position), clock.now()); };

    SECTION("a peer that has read as much changes nothing")
    {
        CHECK_FALSE(reads(4, 4));
        CHECK_FALSE(reads(3, 4));
    }
    SECTION("records that arrive by themselves cost no call")
    {
        CHECK_FALSE(reads(5, 4));
        clock.advance(milliseconds(90));
        CHECK_FALSE(reads(5, 4));
        clock.advance(milliseconds(200));
        CHECK_FALSE(reads(5, 5));
        // The next record has its own time.
        CHECK_FALSE(reads(6, 5));
    }
    SECTION("a host that reads for itself reads now, and again later")
    {
        CHECK_FALSE(reads(5, 4));
        clock.advance(milliseconds(100));
        CHECK(reads(5, 4));
        clock.advance(milliseconds(100));
        CHECK_FALSE(reads(5, 4));
        clock.advance(milliseconds(300));
        CHECK(reads(5, 4));
    }
}
