/// \file
/// Guards against two hosts that own the same fraction of a domain's share: after concurrent
/// records, before the old owner has reduced its share, or on promises that no longer hold. Also
/// checks the encoding of the records.

#include <catch2/catch.hpp>

#include "protocol/share_codec.hpp"

using namespace banyanshunt;

namespace
{

host_incarnation incarnation_of(const std::string& host, std::int64_t incarnation = 1)
{
    return {.host = host_id(host), .incarnation = incarnation_id(incarnation)};
}

const host_incarnation a = incarnation_of("a");
const host_incarnation b = incarnation_of("b");

share_record first_record(const host_incarnation& it)
{
    return {.follows = {}, .members = {it}, .former = {}, .witnesses = {}};
}

share_record record_after_b_joined()
{
    return {.follows = log_offset(1), .members = {a, b}, .former = {a}, .witnesses = {a}};
}

} // namespace

TEST_CASE("an encoded share record decodes to the same record, and invalid text is refused")
{
    auto read = decode_share_record(encode_share_record(record_after_b_joined()));
    REQUIRE(read);
    CHECK(read->follows == log_offset(1));
    CHECK(read->members == std::vector<host_incarnation>{a, b});
    CHECK(read->former == std::vector<host_incarnation>{a});
    CHECK_FALSE(decode_share_record("{}"));
    CHECK_FALSE(decode_share_record(R"({"follows":0,"members":[1],"former":[],"witnesses":[]})"));
    CHECK_FALSE(decode_share_record("not json"));
}

TEST_CASE("a host's fraction of its domain's share follows the records")
{
    test_clock clock;
    share_membership membership(b, {});
    REQUIRE(membership.apply(first_record(a), log_offset(0), clock.now()));
    CHECK(membership.divisor(share_layer::confirmed) == 0);

    SECTION("of two records that follow the same one the second is void")
    {
        CHECK_FALSE(membership.apply(first_record(b), log_offset(1), clock.now()));
        CHECK(membership.members() == std::vector<host_incarnation>{a});
    }
    SECTION("a joining host owns nothing until the old owner has reduced its share")
    {
        REQUIRE(membership.apply(record_after_b_joined(), log_offset(1), clock.now()));
        membership.record_peer(a, {.read = log_offset(2), .cut = log_offset(1)}, {}, clock.now());
        membership.settle(clock.now());
        CHECK(membership.divisor(share_layer::confirmed) == 0);

        SECTION("it owns its share once the old owner reports the reduction")
        {
            membership.record_peer(a, {.read = log_offset(2), .cut = log_offset(2)}, {},
                                   clock.now());
            membership.settle(clock.now());
            CHECK(membership.divisor(share_layer::confirmed) == 2);
            CHECK(membership.divisor(share_layer::outage) == 2);
        }
        SECTION("it owns each layer once a single unresponsive owner's right to it has expired")
        {
            clock.advance(seconds(10));
            membership.settle(clock.now());
            CHECK(membership.divisor(share_layer::confirmed) == 2);
            CHECK(membership.divisor(share_layer::outage) == 0);
            clock.advance(seconds(640));
            membership.settle(clock.now());
            CHECK(membership.divisor(share_layer::outage) == 2);
        }
    }
}

TEST_CASE("only the member of the first record has held its share from the start")
{
    test_clock clock;
    share_membership first(a, {});
    REQUIRE(first.apply(first_record(a), log_offset(0), clock.now()));
    CHECK(first.held_from_first());

    SECTION("another incarnation of the same host has not")
    {
        share_membership next(incarnation_of("a", 2), {});
        REQUIRE(next.apply(first_record(a), log_offset(0), clock.now()));
        CHECK_FALSE(next.held_from_first());
    }
    SECTION("it still has after another host joins, which has not")
    {
        share_membership second(b, {});
        REQUIRE(second.apply(first_record(a), log_offset(0), clock.now()));
        REQUIRE(first.apply(record_after_b_joined(), log_offset(1), clock.now()));
        REQUIRE(second.apply(record_after_b_joined(), log_offset(1), clock.now()));
        CHECK(first.held_from_first());
        CHECK_FALSE(second.held_from_first());

        SECTION("it no longer has after the other host leaves and its share grows")
        {
            share_record alone{
                .follows = log_offset(2), .members = {a}, .former = {a, b}, .witnesses = {a}};
            REQUIRE(first.apply(alone, log_offset(2), clock.now()));
            CHECK_FALSE(first.held_from_first());
        }
    }
    SECTION("a host that restarted in the middle of the stream has not")
    {
        first.restart_from(log_offset(5));
        CHECK_FALSE(first.held_from_first());
    }
}

TEST_CASE("a host without the log uses its share on promises of all other members")
{
    test_clock clock;
    share_membership membership(a, {});
    REQUIRE(membership.apply(first_record(a), log_offset(0), clock.now()));
    instant read_start = clock.now();
    membership.record_log_read(read_start);

    SECTION("without other members there are no promises")
    {
        CHECK(membership.usable_until(share_layer::confirmed) == read_start + seconds(3));
        CHECK(membership.usable_until(share_layer::outage) == read_start + seconds(600));
    }
    SECTION("a response of a member that has read no newer record is a promise")
    {
        REQUIRE(membership.apply(record_after_b_joined(), log_offset(1), clock.now()));
        clock.advance(seconds(60));
        membership.record_peer(b, {.read = log_offset(2), .cut = {}}, clock.now(), clock.now());
        CHECK(membership.usable_until(share_layer::confirmed) == clock.now() + seconds(3));
    }
    SECTION("a response of a member that has read a newer record is no promise")
    {
        REQUIRE(membership.apply(record_after_b_joined(), log_offset(1), clock.now()));
        membership.record_peer(b, {.read = log_offset(3), .cut = {}}, clock.now(), clock.now());
        CHECK(membership.usable_until(share_layer::confirmed) == read_start + seconds(3));
    }
}
