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
    const claimant own{.host = host_id("front-1"),
                       .machine = machine_id("10.0.0.1"),
                       .number = machine_number_of("10.0.0.1")};
    const machine_number other = machine_number_of("10.0.0.2");
    auto number = [](std::int64_t position, machine_number machine)
    { return make_fencing_number(claim_position(position), machine); };
    const assignment_record complete{.holder = own.host,
                                     .takeover_complete = true,
                                     .fence = number(3, own.number),
                                     .machine = own.machine};
    const instant now{std::chrono::hours(1)};
    assignment_claim claim{
        .own = own, .at = log_offset(12), .before = complete, .sent_at = now, .read_at = now};

    SECTION("offsets have grown since the owners that are known: the offset gives it")
    {
        claim.highest_known = number(12, other);
        CHECK_FALSE(has_to_state_number(claim));
        CHECK(number_of(claim) == number(13, own.number));
        CHECK(take_over(claim, terms).may_order_at == now);
    }
    SECTION("the log has lost the claim of an owner that is known")
    {
        claim.highest_known = number(20, other);
        CHECK(has_to_state_number(claim));
        CHECK(number_of(claim) == number(21, own.number));
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
            CHECK(number_of(claim) == number(21, own.number));
            CHECK(take_over(claim, terms).may_order_at == now + takeover_expiry(terms));
        }
    }
    SECTION("the log has lost it, and has grown beyond it since")
    {
        claim.highest_stated = number(3, own.number);
        claim.before->claim_number = claim.highest_stated;
        claim.highest_known = number(9, other);
        CHECK(number_of(claim) == number(13, own.number));
        auto taken = take_over(claim, terms);
        CHECK(taken.may_order_at == now + takeover_expiry(terms));
        CHECK_FALSE(taken.resumed_fence);
    }
    SECTION("an owner since then has stated its number: the next one continues from it")
    {
        claim.before = assignment_record{
            .holder = host_id("front-2"), .released_for = 0ms, .claim_number = number(21, other)};
        claim.highest_stated = number(21, other);
        for (const auto& known : {fencing_number(0), number(21, other)})
        {
            claim.highest_known = known;
            CHECK(has_to_state_number(claim));
            CHECK(number_of(claim) == number(22, own.number));
            CHECK(take_over(claim, terms).may_order_at == now);
        }
    }
    SECTION("offsets have passed the number that was stated")
    {
        claim.at = log_offset(21);
        claim.highest_stated = number(21, other);
        claim.highest_known = number(21, other);
        CHECK_FALSE(has_to_state_number(claim));
        CHECK(number_of(claim) > claim.highest_known);
    }
    SECTION("an earlier version of the program numbered its claims by their offsets alone")
    {
        claim.highest_known = fencing_number(12);
        CHECK_FALSE(has_to_state_number(claim));
        CHECK(number_of(claim) == number(13, own.number));
        CHECK(take_over(claim, terms).resumed_fence == complete.fence);
        SECTION("or stated a number above them, which is that of the last owner")
        {
            claim.before->claim_number = claim.highest_stated = fencing_number(21);
            claim.highest_known = fencing_number(21);
            CHECK(number_of(claim) == number(22, own.number));
            CHECK(take_over(claim, terms).resumed_fence == complete.fence);
        }
        SECTION("and the log has lost one of them")
        {
            claim.highest_known = fencing_number(20);
            CHECK(number_of(claim) == number(21, own.number));
            auto taken = take_over(claim, terms);
            CHECK(taken.may_order_at == now + takeover_expiry(terms));
            CHECK_FALSE(taken.resumed_fence);
        }
    }
}

TEST_CASE("two machines never make one number, whatever they know of each other (ONE)")
{
    const claimant first{.host = host_id("front-1"),
                         .machine = machine_id("10.0.0.1"),
                         .number = machine_number_of("10.0.0.1")};
    const claimant second{.host = host_id("front-2"),
                          .machine = machine_id("10.0.0.2"),
                          .number = machine_number_of("10.0.0.2")};
    const fencing_number known = make_fencing_number(claim_position(40), second.number);

    SECTION("both claim at one offset, in two copies of the log")
    {
        const assignment_claim claim{
            .own = first, .at = log_offset(5), .sent_at = {}, .read_at = {}};
        const assignment_claim again{
            .own = second, .at = log_offset(5), .sent_at = {}, .read_at = {}};
        CHECK(number_of(claim) != number_of(again));
    }
    SECTION("both know the same highest number, and neither reads the other's record")
    {
        const assignment_claim claim{.own = first,
                                     .at = log_offset(5),
                                     .highest_known = known,
                                     .sent_at = {},
                                     .read_at = {}};
        const assignment_claim again{.own = second,
                                     .at = log_offset(7),
                                     .highest_known = known,
                                     .sent_at = {},
                                     .read_at = {}};
        CHECK(number_of(claim) != number_of(again));
        CHECK(number_of(claim) > known);
        CHECK(number_of(again) > known);
    }
    SECTION("a stated number meets a later offset")
    {
        const assignment_claim claim{.own = first,
                                     .at = log_offset(5),
                                     .highest_known = known,
                                     .sent_at = {},
                                     .read_at = {}};
        const assignment_claim again{
            .own = second, .at = log_offset(40), .sent_at = {}, .read_at = {}};
        CHECK(position_of(number_of(claim)) == position_of(number_of(again)));
        CHECK(number_of(claim) != number_of(again));
    }
    SECTION("no number beyond the largest is made")
    {
        const assignment_claim claim{.own = first,
                                     .at = log_offset(5),
                                     .highest_known = max_fencing_number,
                                     .sent_at = {},
                                     .read_at = {}};
        CHECK(number_of(claim) > max_fencing_number);
        CHECK(number_of(claim).count() > 0);
    }
}

TEST_CASE("A claim behind a log that lost an owner of the earlier version waits in full (ONE)")
{
    const order_terms terms{.lease = 3000ms, .membership = 2700ms, .transit = 450ms};
    const claimant own{.host = host_id("front-1"),
                       .machine = machine_id("10.0.0.1"),
                       .number = machine_number_of("10.0.0.1")};
    const instant now{std::chrono::hours(1)};
    // Its claim was at offset 7.
    assignment_claim claim{.own = own,
                           .at = log_offset(7),
                           .highest_known = fencing_number(8),
                           .sent_at = now,
                           .read_at = now};

    SECTION("the log returns with an owner before it, who had this host's name and machine")
    {
        claim.before = assignment_record{.holder = own.host,
                                         .takeover_complete = true,
                                         .fence = fencing_number(5),
                                         .machine = own.machine};
    }
    SECTION("the log returns with a release before it")
    {
        claim.before = assignment_record{.holder = host_id("front-3"), .released_for = 0ms};
    }
    SECTION("the log begins anew")
    {
        claim.at = log_offset(0);
    }
    CHECK(has_lost_claims(claim));
    auto taken = take_over(claim, terms);
    CHECK_FALSE(taken.resumed_fence);
    CHECK(taken.may_order_at == now + takeover_expiry(terms));
}

TEST_CASE("The next host can read the number of a claim, whatever numbers are known (ONE)")
{
    const assignment_claim claim{.own = {.host = host_id("front-1"),
                                         .machine = machine_id("10.0.0.1"),
                                         .number = machine_number_of("10.0.0.1")},
                                 .at = log_offset(5),
                                 .highest_known = max_fencing_number,
                                 .sent_at = {},
                                 .read_at = {}};
    const assignment_record stated{.holder = claim.own.host, .claim_number = number_of(claim)};
    CHECK(parse_assignment_record(to_text(stated)) == stated);
}
