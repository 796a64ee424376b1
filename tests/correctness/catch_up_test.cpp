// What a host does that hears from its peers of records that it has not read.

#include <catch2/catch.hpp>

#include "coordination/catch_up.hpp"

using namespace banyanshunt;

TEST_CASE("A host that hears of records reads them and asks its reader first")
{
    test_clock clock;
    catch_up it;
    auto step = [&](int end, int position, bool read_by_other)
    { return it.step(log_offset(end), log_offset(position), read_by_other, clock.now()); };

    SECTION("a peer that has read as much changes nothing")
    {
        CHECK(step(4, 4, false) == catch_up_step::none);
        CHECK(step(3, 4, false) == catch_up_step::none);
    }
    SECTION("records that arrive by themselves cost no call")
    {
        CHECK(step(5, 4, false) == catch_up_step::none);
        clock.advance(milliseconds(90));
        CHECK(step(5, 4, false) == catch_up_step::none);
        clock.advance(milliseconds(200));
        CHECK(step(5, 5, false) == catch_up_step::none);
        // The next record has its own time.
        CHECK(step(6, 5, false) == catch_up_step::none);
    }
    SECTION("a host that reads for itself reads now, and again later")
    {
        step(5, 4, false);
        clock.advance(milliseconds(100));
        CHECK(step(5, 4, false) == catch_up_step::read_topic);
        clock.advance(milliseconds(100));
        CHECK(step(5, 4, false) == catch_up_step::none);
        clock.advance(milliseconds(300));
        CHECK(step(5, 4, false) == catch_up_step::read_topic);
    }
    SECTION("one that another reads for asks there, and reads if that does not help")
    {
        step(5, 4, true);
        clock.advance(milliseconds(100));
        CHECK(step(5, 4, true) == catch_up_step::request_view);
        clock.advance(milliseconds(400));
        CHECK(step(5, 4, true) == catch_up_step::read_topic);
    }
}
