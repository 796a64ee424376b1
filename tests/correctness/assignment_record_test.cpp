// When a host may begin to give orders in a duty that the group has dealt it.

#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("the wait before a turn of giving orders")
{
    const host_id own("front-1");
    const host_id other("front-2");
    constexpr milliseconds turn_over = 4200ms;

    SECTION("nobody had the duty before: there is nobody to wait for")
    {
        CHECK(takeover_delay(true, std::nullopt, own, turn_over) == 0ms);
    }
    SECTION("another host had it: it may not know yet that it lost it")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .takeover_complete = true},
                             own, turn_over) == turn_over);
        CHECK(takeover_delay(false, assignment_record{.holder = other}, own, turn_over) ==
              turn_over);
    }
    SECTION("all hosts or the store were away, and it came back to the host that had its turn")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = own, .takeover_complete = true},
                             own, turn_over) == 0ms);
    }
    SECTION("this host took it before, but its turn had not begun when it was killed")
    {
        // The holder before it may still be giving orders.
        CHECK(takeover_delay(false, assignment_record{.holder = own}, own, turn_over) == turn_over);
    }
    SECTION("the record before could not be read")
    {
        CHECK(takeover_delay(false, std::nullopt, own, turn_over) == turn_over);
    }
    SECTION("records are read as they were written, and others are none")
    {
        for (bool begun : {false, true})
        {
            assignment_record record{.holder = own, .takeover_complete = begun};
            CHECK(parse_assignment_record(to_text(record)) == record);
        }
        CHECK_FALSE(parse_assignment_record(""));
        CHECK_FALSE(parse_assignment_record(" begun"));
        CHECK_FALSE(parse_assignment_record("two words"));
    }
}
