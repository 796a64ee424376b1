/// \file
/// The records of a domain's share stream: their written form, and who owns what after them.

#include <catch2/catch.hpp>

#include "protocol/share_codec.hpp"

using namespace banyanshunt;

namespace
{

host_incarnation life_of(const std::string& host, std::int64_t life = 1)
{
    return {.host = host_id(host), .incarnation = incarnation_id(life)};
}

const host_incarnation a = life_of("a");
const host_incarnation b = life_of("b");

share_record first_of(const host_incarnation& it)
{
    return {.follows = {}, .members = {it}, .former = {}, .witnesses = {}};
}

share_record joined_by_b()
{
    return {.follows = log_offset(1), .members = {a, b}, .former = {a}, .witnesses = {a}};
}

} // namespace

TEST_CASE("a share record reads back as it was written, and nothing else reads as one")
{
    auto read = decode_share_record(encode_share_record(joined_by_b()));
    REQUIRE(read);
    CHECK(read->follows == log_offset(1));
    CHECK(read->members == std::vector<host_incarnation>{a, b});
    CHECK(read->former == std::vector<host_incarnation>{a});
    CHECK_FALSE(decode_share_record("{}"));
    CHECK_FALSE(decode_share_record(R"({"follows":0,"members":[1],"former":[],"witnesses":[]})"));
    CHECK_FALSE(decode_share_record("not json"));
}

TEST_CASE("a host's part of its domain follows the records")
{
    test_clock clock;
    share_membership mine(b, {});
    REQUIRE(mine.apply(first_of(a), log_offset(0), clock.now()));
    CHECK(mine.divisor(share_layer::confirmed) == 0);

    SECTION("of two records that follow the same one the second is void")
    {
        CHECK_FALSE(mine.apply(first_of(b), log_offset(1), clock.now()));
        CHECK(mine.members() == std::vector<host_incarnation>{a});
    }
    SECTION("a joining host owns nothing until the old owner has cut its part")
    {
        REQUIRE(mine.apply(joined_by_b(), log_offset(1), clock.now()));
        mine.record_peer(a, {.read = log_offset(2), .cut = log_offset(1)}, {}, clock.now());
        mine.settle(clock.now());
        CHECK(mine.divisor(share_layer::confirmed) == 0);

        SECTION("and has it once that is told")
        {
            mine.record_peer(a, {.read = log_offset(2), .cut = log_offset(2)}, {}, clock.now());
            mine.settle(clock.now());
            CHECK(mine.divisor(share_layer::confirmed) == 2);
            CHECK(mine.divisor(share_layer::outage) == 2);
        }
        SECTION("or half of it when a lone old owner was silent past its lease and loans")
        {
            clock.advance(seconds(10));
            mine.settle(clock.now());
            CHECK(mine.divisor(share_layer::confirmed) == 2);
            CHECK(mine.divisor(share_layer::outage) == 0);
            clock.advance(seconds(640));
            mine.settle(clock.now());
            CHECK(mine.divisor(share_layer::outage) == 2);
        }
    }
}

TEST_CASE("only the first member of the first record has held its part from the first")
{
    test_clock clock;
    share_membership first(a, {});
    REQUIRE(first.apply(first_of(a), log_offset(0), clock.now()));
    CHECK(first.held_from_first());

    SECTION("another life of the same host has not")
    {
        share_membership next(life_of("a", 2), {});
        REQUIRE(next.apply(first_of(a), log_offset(0), clock.now()));
        CHECK_FALSE(next.held_from_first());
    }
    SECTION("it still has when another joins, who has not")
    {
        share_membership second(b, {});
        REQUIRE(second.apply(first_of(a), log_offset(0), clock.now()));
        REQUIRE(first.apply(joined_by_b(), log_offset(1), clock.now()));
        REQUIRE(second.apply(joined_by_b(), log_offset(1), clock.now()));
        CHECK(first.held_from_first());
        CHECK_FALSE(second.held_from_first());

        SECTION("but not when that one leaves, and its part comes back")
        {
            share_record alone{
                .follows = log_offset(2), .members = {a}, .former = {a, b}, .witnesses = {a}};
            REQUIRE(first.apply(alone, log_offset(2), clock.now()));
            CHECK_FALSE(first.held_from_first());
        }
    }
    SECTION("nor one that began in the middle of the stream")
    {
        first.restart_from(log_offset(5));
        CHECK_FALSE(first.held_from_first());
    }
}

TEST_CASE("a host without the log lives on the promises of all other members")
{
    test_clock clock;
    share_membership mine(a, {});
    REQUIRE(mine.apply(first_of(a), log_offset(0), clock.now()));
    instant began = clock.now();
    mine.record_log_read(began);

    SECTION("alone it has nobody's promise")
    {
        CHECK(mine.usable_until(share_layer::confirmed) == began + seconds(3));
        CHECK(mine.usable_until(share_layer::outage) == began + seconds(600));
    }
    SECTION("a member that has read no newer record promises by its answer")
    {
        REQUIRE(mine.apply(joined_by_b(), log_offset(1), clock.now()));
        clock.advance(seconds(60));
        mine.record_peer(b, {.read = log_offset(2), .cut = {}}, clock.now(), clock.now());
        CHECK(mine.usable_until(share_layer::confirmed) == clock.now() + seconds(3));
    }
    SECTION("one that has read a newer record promises nothing")
    {
        REQUIRE(mine.apply(joined_by_b(), log_offset(1), clock.now()));
        mine.record_peer(b, {.read = log_offset(3), .cut = {}}, clock.now(), clock.now());
        CHECK(mine.usable_until(share_layer::confirmed) == began + seconds(3));
    }
}
