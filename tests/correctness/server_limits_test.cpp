#include <catch2/catch.hpp>

#include "coordination/server_limits.hpp"
#include "platform/headers.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id server("s1");
constexpr millirequests_per_second two(2000);
constexpr millirequests_per_second five(5000);

std::optional<millirequests_per_second> read_limit(const char* text)
{
    platform::server_response_fields fields;
    platform::read_server_field("server-limit", text, fields);
    return fields.limit;
}

} // namespace

TEST_CASE("A server's limit is read from its response")
{
    CHECK(read_limit("2.3") == millirequests_per_second(2300));
    CHECK(read_limit("0") == millirequests_per_second(0));
    CHECK(read_limit("1e300") == millirequests_per_second(1000000000000));

    SECTION("a value that is not a rate states nothing")
    {
        for (const char* text : {"", "-1", "nan", "inf", "2.3 a second", "0x2"})
        {
            INFO(text);
            CHECK_FALSE(read_limit(text));
        }
    }
    SECTION("of several values the lowest counts")
    {
        platform::server_response_fields fields;
        for (const char* text : {"5", "2", "7"})
        {
            platform::read_server_field("Server-Limit", text, fields);
        }
        CHECK(fields.limit == two);
    }
}

TEST_CASE("A limit is in force from the first response that states it to one that does not")
{
    server_limits limits;
    instant now = instant(1h);
    auto exact = [&](std::optional<millirequests_per_second> rate, instant sent_at)
    { return limits.record_response(server, 1, rate, response_match::exact, sent_at, now); };
    CHECK(exact(std::nullopt, now) == limit_change::none);
    CHECK(exact(two, now) == limit_change::began);
    CHECK(limits.rate(server) == two);
    instant stated_at = now;

    SECTION("it rises and falls with what the server states")
    {
        now += 1s;
        CHECK(exact(five, now) == limit_change::adjusted);
        CHECK(limits.rate(server) == five);
        CHECK(exact(millirequests_per_second(5100), now) == limit_change::none);
        CHECK(limits.rate(server) == millirequests_per_second(5100));
        CHECK(exact(two, now) == limit_change::adjusted);
        CHECK(limits.rate(server) == two);
    }
    SECTION("a response to a request that was sent before the statement does not end it")
    {
        now += 1s;
        CHECK(exact(std::nullopt, stated_at - 1ms) == limit_change::none);
        CHECK(limits.in_force(server));
        CHECK(exact(std::nullopt, stated_at + 1ms) == limit_change::ended);
        CHECK_FALSE(limits.in_force(server));
    }
    SECTION("only the response to the request that was sent ends it")
    {
        now += 1s;
        for (auto match : {response_match::other, response_match::unidentified})
        {
            CHECK(limits.record_response(server, 1, std::nullopt, match, now, now) ==
                  limit_change::none);
        }
        CHECK(limits.in_force(server));
    }
    SECTION("a late response changes nothing while a limit is in force")
    {
        CHECK(limits.record_response(server, 1, five, response_match::other, now, now) ==
              limit_change::none);
        CHECK(limits.rate(server) == two);
    }
    SECTION("a statement of a peer counts by its age")
    {
        CHECK(limits.record(server, {.start_time_ms = 1, .rate = five, .at = now - 1ms}) ==
              limit_change::none);
        CHECK(limits.record(server, {.start_time_ms = 1, .rate = five, .at = now + 1ms}) ==
              limit_change::adjusted);
    }
    SECTION("a server reborn under its id has no limit until it states one")
    {
        limits.forget_earlier(server, 1);
        CHECK(limits.in_force(server));
        limits.forget_earlier(server, 2);
        CHECK_FALSE(limits.in_force(server));
        CHECK(limits.record(server, {.start_time_ms = 2, .rate = five, .at = now}) ==
              limit_change::began);

        AND_WHEN("a peer repeats what the earlier incarnation stated")
        {
            CHECK(limits.record(server, {.start_time_ms = 1, .rate = two, .at = now + 1s}) ==
                  limit_change::none);
            CHECK(limits.rate(server) == five);
        }
    }
    SECTION("it is forgotten if no response stated it for a minute")
    {
        limits.expire(now + 59s);
        CHECK(limits.in_force(server));
        limits.expire(now + 61s);
        CHECK_FALSE(limits.in_force(server));
    }
}

TEST_CASE("The requests sent to a server in the last second are counted")
{
    server_limits limits;
    instant now = instant(1h);
    CHECK(limits.recent_sends(server, now) == 0);
    limits.record_sent(server, now);
    limits.record_sent(server, now + 600ms);
    CHECK(limits.recent_sends(server, now + 900ms) == 2);
    CHECK(limits.recent_sends(server, now + 1500ms) == 1);
}
