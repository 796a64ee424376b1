// What a host knows of the newest configuration, and how far a complete read of it reaches.

#include <catch2/catch.hpp>

#include "coordination/complete_read.hpp"
#include "coordination/config_ground.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("A decision asks how old its ground is, whichever way it goes")
{
    constexpr instant start{};
    constexpr config_version own(3);
    config_ground it({.apply = 2000ms});

    SECTION("a configuration that was never confirmed is confirmed first")
    {
        CHECK(it.judge(own, start) == ground_verdict::confirm_first);
        CHECK(it.needs_refresh(start));
    }
    SECTION("two reads that wait as long as they may are over while it is recent enough")
    {
        REQUIRE(it.record_response(log_offset(7), start));
        auto two_reads = 2 * (it.max_wait(100ms) + 20ms);
        CHECK(it.judge(own, start + two_reads) == ground_verdict::decide);
        CHECK_FALSE(it.needs_refresh(start + two_reads));

        SECTION("an overdue one makes the host ask beside it, and then first")
        {
            CHECK(it.needs_refresh(start + it.refresh_age()));
            CHECK(it.judge(own, start + it.max_age() + 1ms) == ground_verdict::confirm_first);
        }
        SECTION("a store that was asked and did not answer is not waited for")
        {
            it.record_failed(start + 1s);
            CHECK(it.judge(own, start + it.max_age() + 1ms) == ground_verdict::unconfirmed);
        }
    }
    SECTION("a response is no confirmation if a peer had read further before its call was sent")
    {
        it.record_report(log_offset(8), own, start + 1s);
        CHECK(it.record_response(log_offset(7), start + 900ms));
        CHECK_FALSE(it.record_response(log_offset(7), start + 1100ms));
        CHECK(it.confirmed_at() == start + 900ms);

        SECTION("unless the store says the same of all keys")
        {
            it.forget_reports();
            CHECK(it.record_response(log_offset(7), start + 1200ms));
        }
    }
    SECTION("a peer's newer version counts when it did not arrive by itself")
    {
        REQUIRE(it.record_response(log_offset(8), start));
        it.record_report(log_offset(8), config_version(4), start);
        CHECK(it.judge(own, start + 50ms) == ground_verdict::decide);
        CHECK(it.judge(own, start + 150ms) == ground_verdict::confirm_first);
        CHECK(it.judge(config_version(4), start + 150ms) == ground_verdict::decide);
    }
}

TEST_CASE("A complete read reaches as far as its records, not as the end that it states")
{
    constexpr instant start{};
    complete_read_gap gap(3000ms);
    complete_read read;
    read.add_page(log_offset(9));
    read.add_record(log_offset(2));
    read.add_record(log_offset(8));

    SECTION("the last record is shown, so nothing is missing")
    {
        CHECK(read.is_proven());
        CHECK(gap.judge(read, start) == gap_action::read_from_end);
    }
    SECTION("what a later page shows beyond the first page's end is read again")
    {
        read.add_page(log_offset(12));
        read.add_record(log_offset(11));
        CHECK(read.end() == log_offset(9));
        CHECK(read.reached() == log_offset(9));
    }
    SECTION("the last record is not shown")
    {
        complete_read older;
        older.add_page(log_offset(9));
        older.add_record(log_offset(6));
        CHECK(older.reached() == log_offset(7));
        CHECK(gap.judge(older, start) == gap_action::read_gap);

        SECTION("the log has dropped it: the read is repeated until it is")
        {
            CHECK(gap.judge(older, start + 100ms) == gap_action::repeat);
            CHECK(gap.judge(read, start + 200ms) == gap_action::read_from_end);
        }
        SECTION("it dropped a key, so it never is")
        {
            CHECK(gap.judge(older, start + 2999ms) == gap_action::repeat);
            CHECK(gap.judge(older, start + 3000ms) == gap_action::read_from_end);
        }
    }
}
