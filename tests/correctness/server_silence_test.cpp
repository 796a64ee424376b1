#include <catch2/catch.hpp>

#include "coordination/server_silence.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

TEST_CASE("A request gives up on a silent server only for something better")
{
    const server_silence_options options;
    auto judge = [&](observed_silence silence)
    {
        silence.event_timeout = 2s;
        return judge_silence(silence, options);
    };

    SECTION("a server that sent something lately is waited for")
    {
        CHECK(judge({.request = 800ms, .server = 800ms, .event = 800ms}) == silence_action::wait);
        // It answers others, and this request takes long.
        CHECK(judge({.request = 2100ms, .server = 10ms}) == silence_action::wait);
    }
    SECTION("a server that sends nothing at all is left for another, however long that takes")
    {
        CHECK(judge({.request = 1s, .server = 1s}) == silence_action::move);
        CHECK(judge({.request = 5s, .server = 5s, .event = 5s}) == silence_action::move);
    }
    SECTION("a connection that is silent while the server sends on others is left")
    {
        CHECK(judge({.request = 2300ms, .server = 100ms}) == silence_action::resend);
    }
    SECTION("bytes that complete no event for as long as the caller waits")
    {
        CHECK(judge({.request = 10ms, .server = 10ms, .event = 2100ms}) == silence_action::resend);
        CHECK(judge({.request = 10ms, .server = 10ms, .event = 1900ms}) == silence_action::wait);
    }
}
