// When a host may begin to give orders to an engine that the group has assigned to it.

#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("the delay before a host takes over an assignment")
{
    const host_id own("front-1");
    const host_id other("front-2");
    constexpr milliseconds expiry = 4200ms;

    SECTION("there was no previous owner: there is no delay")
    {
        CHECK(takeover_delay(true, std::nullopt, own, expiry) == 0ms);
    }
    SECTION("another host had it and may not have learned yet that it lost it")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .takeover_complete = true},
                             own, expiry) == expiry);
        CHECK(takeover_delay(false, assignment_record{.holder = other}, own, expiry) == expiry);
    }
    SECTION("after an outage of all hosts or the store it returns to the owner that had completed "
            "its takeover")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = own, .takeover_complete = true},
                             own, expiry) == 0ms);
    }
    SECTION("this host claimed it before, but was killed before its takeover was complete")
    {
        // The previous owner may still be giving orders.
        CHECK(takeover_delay(false, assignment_record{.holder = own}, own, expiry) == expiry);
    }
    SECTION("the previous owner released it and stated the wait")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 0ms}, own,
                             expiry) == 0ms);
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 2500ms}, own,
                             expiry) == 2500ms);
    }
    SECTION("a stated wait beyond the expiry of the previous owner's lease is not waited for")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 60000ms},
                             own, expiry) == expiry);
    }
    SECTION("the preceding record could not be read")
    {
        CHECK(takeover_delay(false, std::nullopt, own, expiry) == expiry);
    }
    SECTION("records survive encoding and parsing, and malformed texts are rejected")
    {
        for (bool complete : {false, true})
        {
            assignment_record record{.holder = own, .takeover_complete = complete};
            CHECK(parse_assignment_record(to_text(record)) == record);
        }
        assignment_record release{.holder = own, .released_for = 1250ms};
        CHECK(parse_assignment_record(to_text(release)) == release);
        CHECK_FALSE(parse_assignment_record("front-1 released "));
        CHECK_FALSE(parse_assignment_record("front-1 released -5"));
        CHECK_FALSE(parse_assignment_record("front-1 released 5 ms"));
        CHECK_FALSE(parse_assignment_record(" released 5"));
        CHECK_FALSE(parse_assignment_record(""));
        CHECK_FALSE(parse_assignment_record(" begun"));
        CHECK_FALSE(parse_assignment_record("two words"));
    }
}

TEST_CASE("the wait that a host states when it releases an assignment")
{
    constexpr milliseconds lease = 3000ms;
    const instant now{std::chrono::hours(1)};

    SECTION("none if it has given no order for a lease")
    {
        CHECK(release_delay(now - 3s, now - 20s, lease, now) == 0ms);
    }
    SECTION("the rest of a lease after its last order")
    {
        CHECK(release_delay(now - 1s, now - 20s, lease, now) == 2000ms);
    }
    SECTION("the rest of its own takeover, as the owner before may still be giving orders")
    {
        CHECK(release_delay(now - 20s, now + 2500ms, lease, now) == 2500ms);
    }
}
