// When a host may begin to give orders to an engine that the group has assigned to it.

#include <catch2/catch.hpp>

#include "coordination/assignment_record.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("the delay before a host takes over an assignment")
{
    const claimant own_host{.host = host_id("front-1"), .machine = machine_id("10.0.0.1")};
    const host_id own = own_host.host;
    const host_id other("front-2");
    constexpr milliseconds expiry = 4200ms;

    SECTION("there was no previous owner: there is no delay")
    {
        CHECK(takeover_delay(true, std::nullopt, own_host, expiry) == 0ms);
    }
    SECTION("another host had it and may not have learned yet that it lost it")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .takeover_complete = true},
                             own_host, expiry) == expiry);
        CHECK(takeover_delay(false, assignment_record{.holder = other}, own_host, expiry) ==
              expiry);
    }
    SECTION("after an outage of all hosts or the store it returns to the owner that had completed "
            "its takeover")
    {
        assignment_record complete{.holder = own,
                                   .takeover_complete = true,
                                   .fence = fencing_number(3),
                                   .machine = own_host.machine};
        CHECK(takeover_delay(false, complete, own_host, expiry) == 0ms);
        SECTION("but not on another machine that has its name")
        {
            complete.machine = machine_id("10.0.0.9");
            CHECK(takeover_delay(false, complete, own_host, expiry) == expiry);
        }
    }
    SECTION("this host claimed it before, but was killed before its takeover was complete")
    {
        // The previous owner may still be giving orders.
        CHECK(takeover_delay(false, assignment_record{.holder = own}, own_host, expiry) == expiry);
    }
    SECTION("the previous owner released it and stated the wait")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 0ms},
                             own_host, expiry) == 0ms);
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 2500ms},
                             own_host, expiry) == 2500ms);
    }
    SECTION("a stated wait beyond the expiry of the previous owner's lease is not waited for")
    {
        CHECK(takeover_delay(false, assignment_record{.holder = other, .released_for = 60000ms},
                             own_host, expiry) == expiry);
    }
    SECTION("the preceding record releases the assignment to the host before this one")
    {
        assignment_record late{
            .holder = other, .released_for = 0ms, .released_after = log_offset(4)};
        CHECK(takeover_delay(false, late, own_host, expiry) == expiry);
    }
    SECTION("the preceding record could not be read")
    {
        CHECK(takeover_delay(false, std::nullopt, own_host, expiry) == expiry);
    }
    SECTION("records survive encoding and parsing, and malformed texts are rejected")
    {
        for (const auto& record :
             {assignment_record{.holder = own},
              {.holder = own,
              .takeover_complete = true,
              .fence = fencing_number(7),
              .machine = own_host.machine},
              {.holder = own, .released_for = 1250ms},
              {.holder = own, .released_for = 1250ms, .released_after = log_offset(9)},
              {.holder = own, .released_for = 1250ms, .unused_since = log_offset(0)},
              {.holder = own, .claim_number = fencing_number(21)},
              {.holder = own,
              .released_for = 1250ms,
              .unused_since = log_offset(0),
              .claim_number = fencing_number(21)}})
        {
            CHECK(parse_assignment_record(to_text(record)) == record);
        }
        CHECK_FALSE(parse_assignment_record("front-1 begun"));
        CHECK_FALSE(parse_assignment_record("front-1 begun 7"));
        CHECK_FALSE(parse_assignment_record("front-1 begun 7 a b"));
        CHECK_FALSE(parse_assignment_record("front-1 released 5 after x"));
        CHECK_FALSE(parse_assignment_record("front-1 released 5 unused "));
        CHECK_FALSE(parse_assignment_record("front-1 released "));
        CHECK_FALSE(parse_assignment_record("front-1 released -5"));
        CHECK_FALSE(parse_assignment_record("front-1 number x"));
        CHECK_FALSE(parse_assignment_record("front-1 number 9223372036854775807"));
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

TEST_CASE("what follows a claim in the log")
{
    const claimant own{.host = host_id("front-1"), .machine = machine_id("10.0.0.1")};
    const log_offset before_claim(3);
    const log_offset from(5);
    auto read = [&](const std::vector<std::string>& records)
    { return read_after_claim(records, from, own, before_claim); };

    SECTION("nothing, or the host's own records: it stays the owner")
    {
        CHECK_FALSE(read({}).superseded);
        CHECK(read({}).last == log_offset(4));
        CHECK_FALSE(read({"front-1 begun 5 10.0.0.1"}).superseded);
        CHECK(read({"front-1 begun 5 10.0.0.1"}).last == log_offset(5));
    }
    SECTION("the late release of the owner before: its wait holds")
    {
        auto after = read({"front-2 released 800 after 3"});
        CHECK_FALSE(after.superseded);
        CHECK(after.released_for == 800ms);
    }
    SECTION("the late release of an owner before that one: it says nothing of the owner before")
    {
        CHECK_FALSE(read({"front-2 released 800 after 2"}).released_for);
    }
    SECTION("another host's claim, or a record that cannot be read")
    {
        CHECK(read({"front-2"}).superseded);
        CHECK(read({"front-1 begun 5 10.0.0.1", "??? ?"}).superseded);
        CHECK(read({"front-1 begun 5 10.0.0.1", "front-2"}).last_before_claim == log_offset(5));
    }
    SECTION("a claim of another machine under the host's name (ONE)")
    {
        CHECK(read({"front-1"}).superseded);
        CHECK(read({"front-1 number 21"}).superseded);
        CHECK(read({"front-1 begun 5 10.0.0.2"}).superseded);
        CHECK(read({"front-1 begun 5 10.0.0.1", "front-1"}).last_before_claim == log_offset(5));
    }
}

TEST_CASE("the number of a claim is above those of all earlier owners (ONE)")
{
    const order_terms terms{.lease = 3000ms, .membership = 2700ms, .transit = 450ms};
    const claimant own{.host = host_id("front-1"), .machine = machine_id("10.0.0.1")};
    const assignment_record complete{.holder = own.host,
                                     .takeover_complete = true,
                                     .fence = fencing_number(3),
                                     .machine = own.machine};
    const instant now{std::chrono::hours(1)};
    assignment_claim claim{
        .own = own, .at = log_offset(12), .before = complete, .sent_at = now, .read_at = now};

    SECTION("offsets have grown since the owners that are known: the offset gives it")
    {
        claim.highest_known = fencing_number(12);
        CHECK_FALSE(number_to_state(claim));
        CHECK(take_over(claim, terms).may_order_at == now);
    }
    SECTION("the log has lost the claim of an owner that is known")
    {
        claim.highest_known = fencing_number(20);
        CHECK(number_to_state(claim) == fencing_number(21));
        SECTION("so that its records do not show who gave orders last")
        {
            for (const auto& before :
                 {complete, assignment_record{.holder = host_id("front-2"), .released_for = 0ms}})
            {
                claim.before = before;
                auto taken = take_over(claim, terms);
                CHECK(taken.may_order_at == now + takeover_expiry(terms));
                CHECK(taken.from_other_host);
                CHECK_FALSE(taken.resumed_fence);
            }
        }
        SECTION("and the claim may be the first one of a log that begins anew")
        {
            claim.at = log_offset(0);
            claim.before.reset();
            CHECK(number_to_state(claim) == fencing_number(21));
            CHECK(take_over(claim, terms).may_order_at == now + takeover_expiry(terms));
        }
    }
    SECTION("an owner since then has stated its number: the next one continues from it")
    {
        claim.before = assignment_record{
            .holder = host_id("front-2"), .released_for = 0ms, .claim_number = fencing_number(21)};
        claim.highest_stated = fencing_number(21);
        for (int known : {0, 21})
        {
            claim.highest_known = fencing_number(known);
            CHECK(number_to_state(claim) == fencing_number(22));
            CHECK(take_over(claim, terms).may_order_at == now);
        }
    }
    SECTION("offsets have passed the number that was stated")
    {
        claim.at = log_offset(21);
        claim.highest_stated = fencing_number(21);
        claim.highest_known = fencing_number(21);
        CHECK_FALSE(number_to_state(claim));
    }
}
