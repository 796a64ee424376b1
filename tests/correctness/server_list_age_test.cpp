#include <catch2/catch.hpp>

#include "coordination/server_list_age.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("A request is not sent by a server list of unknown age")
{
    constexpr instant start{};
    constexpr milliseconds max_age = 1760ms;
    server_list_age it;

    SECTION("a list that was never confirmed is confirmed first")
    {
        CHECK(it.judge(max_age, start) == list_verdict::confirm_first);
    }
    SECTION("a confirmed list serves until it is too old")
    {
        it.record_confirmed(start);
        CHECK(it.judge(max_age, start + max_age) == list_verdict::current);
        CHECK(it.judge(max_age, start + max_age + 1ms) == list_verdict::confirm_first);

        SECTION("a suspension counts, however short it seemed to the host")
        {
            CHECK(it.judge(max_age, start + 10min) == list_verdict::confirm_first);
        }
        SECTION("a log that was asked since and did not answer cannot confirm it")
        {
            it.record_failed(start + 1500ms);
            CHECK(it.judge(max_age, start + 2s) == list_verdict::unconfirmed);

            SECTION("the failure does not count for ever either")
            {
                CHECK(it.judge(max_age, start + 3500ms) == list_verdict::confirm_first);
            }
            SECTION("the next response confirms it again")
            {
                it.record_confirmed(start + 1900ms);
                CHECK(it.judge(max_age, start + 2s) == list_verdict::current);
            }
        }
        SECTION("a failure before the confirmation says nothing of the log")
        {
            it.record_failed(start - 10ms);
            CHECK(it.judge(max_age, start + 1770ms) == list_verdict::confirm_first);
        }
        SECTION("a response to an earlier call does not make it older")
        {
            it.record_confirmed(start - 1s);
            CHECK(it.judge(max_age, start + max_age) == list_verdict::current);
        }
    }
}
