// Which parts of prompts are banned, by crashes of servers and sound responses, without any input
// or output.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "coordination/prompt_quarantine.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr prompt_part shared(1);
constexpr prompt_part bad(2);
constexpr prompt_part rare(3);

/// Servers that end under requests, each at a time of its own.
struct crash_case
{
    test_clock clock;
    prompt_quarantine quarantine;
    int servers = 0;

    server_crash next_crash()
    {
        return {.server = server_id("s" + std::to_string(++servers)),
                .start_time_ms = servers,
                .at = clock.now()};
    }
    std::vector<prompt_part> crash(const std::vector<prompt_part>& parts,
                                   std::chrono::milliseconds gap = 500ms)
    {
        clock.advance(gap);
        return quarantine.record_crash(parts, next_crash()).banned;
    }
};

} // namespace

TEST_CASE("A part under which servers end one after the other is banned")
{
    crash_case it;
    it.quarantine.record_sound({shared}, it.clock.now());

    SECTION("with the third crash, and not the part that sound requests share with it")
    {
        CHECK(it.crash({shared, bad}).empty());
        CHECK(it.crash({shared, bad}).empty());
        CHECK(it.quarantine.judge({bad}) == part_state::suspected);
        CHECK(it.crash({shared, bad}) == std::vector{bad});
        CHECK(it.quarantine.judge({shared, bad}) == part_state::banned);
        CHECK(it.quarantine.judge({shared, rare}) == part_state::free);
    }
    SECTION("the crash of one incarnation counts once, whichever hosts tell of it")
    {
        auto known = it.next_crash();
        for (int n = 0; n < 10; ++n)
        {
            known.at += 300ms;
            CHECK(it.quarantine.record_crash({bad}, known).banned.empty());
        }
        CHECK(it.quarantine.judge({bad}) == part_state::suspected);
    }
    SECTION("crashes that peers tell late, in any order, count by when they were")
    {
        auto first = it.next_crash();
        it.clock.advance(1s);
        auto second = it.next_crash();
        it.clock.advance(1s);
        CHECK(it.quarantine.record_crash({bad}, it.next_crash()).banned.empty());
        CHECK(it.quarantine.record_crash({bad}, first).banned.empty());
        CHECK(it.quarantine.record_crash({bad}, second).banned == std::vector{bad});
    }
}

TEST_CASE("Parts that were in the same crashes are banned together")
{
    crash_case it;
    for (int n = 0; n < 3; ++n)
    {
        it.crash({bad, rare});
    }
    REQUIRE(it.quarantine.judge({bad, rare}) == part_state::banned);
    REQUIRE(it.quarantine.judge({shared, bad, rare}) == part_state::banned);
    // One of them is tried.
    REQUIRE(it.quarantine.judge({shared, rare}) == part_state::suspected);
    REQUIRE(it.quarantine.judge({shared, bad}) == part_state::suspected);

    SECTION("until one of them was in a sound response")
    {
        CHECK(it.quarantine.record_sound({shared, rare}, it.clock.now()) == std::vector{rare});
        CHECK(it.quarantine.judge({shared, rare}) == part_state::free);
        CHECK(it.quarantine.judge({shared, bad}) == part_state::banned);
    }
    SECTION("until one of them was in another crash")
    {
        it.crash({shared, bad});
        CHECK(it.quarantine.judge({bad}) == part_state::banned);
        CHECK(it.quarantine.judge({shared, rare}) == part_state::suspected);
    }
    SECTION("also at a host that another one told")
    {
        prompt_quarantine peer;
        for (const auto& ban : it.quarantine.bans())
        {
            CHECK(peer.record_ban(ban, it.clock.now()));
        }
        CHECK(peer.judge({bad, rare}) == part_state::banned);
        CHECK(peer.judge({shared, rare}) == part_state::suspected);
    }
    SECTION("and what victims of the same crashes have is told apart, whichever host tells first")
    {
        constexpr prompt_part victim(9);
        crash_case other;
        for (int n = 0; n < 3; ++n)
        {
            other.clock.advance(500ms);
            auto crash = other.next_crash();
            other.quarantine.record_crash({shared, victim}, crash);
            other.quarantine.record_crash({shared, bad}, crash);
        }
        CHECK(other.quarantine.judge({shared, bad, victim}) == part_state::banned);
        CHECK(other.quarantine.judge({shared}) == part_state::suspected);
        other.quarantine.record_sound({shared, victim}, other.clock.now());
        CHECK(other.quarantine.judge({shared, victim}) == part_state::free);
        CHECK(other.quarantine.judge({shared, bad}) == part_state::banned);
    }
}

TEST_CASE("What hosts tell of one crash counts as one crash, whatever parts each of them knows")
{
    crash_case it;
    constexpr prompt_part victim(9);
    it.clock.advance(500ms);
    auto crash = it.next_crash();

    SECTION("the host of the victim first")
    {
        it.quarantine.record_crash({victim}, crash);
        it.quarantine.record_crash({bad}, crash);
    }
    SECTION("the host of the cause first")
    {
        it.quarantine.record_crash({bad}, crash);
        it.quarantine.record_crash({victim}, crash);
    }
    SECTION("right after another crash, the host of the victim first")
    {
        it.quarantine.record_crash({rare, bad}, crash);
        it.clock.advance(75ms);
        auto second = it.next_crash();
        it.quarantine.record_crash({victim}, second);
        it.quarantine.record_crash({rare, bad}, second);
    }
    SECTION("right after another crash, the host of the cause first")
    {
        it.quarantine.record_crash({rare, bad}, crash);
        it.clock.advance(75ms);
        auto second = it.next_crash();
        it.quarantine.record_crash({rare, bad}, second);
        it.quarantine.record_crash({victim}, second);
    }
    SECTION("right before another crash under the victim's part")
    {
        it.quarantine.record_crash({victim}, crash);
        it.clock.advance(75ms);
        auto second = it.next_crash();
        it.quarantine.record_crash({victim}, second);
        it.quarantine.record_crash({bad}, second);
    }
    CHECK(it.crash({victim, bad}).empty());
    it.crash({victim, bad});
    // Only a request without the cause shows that the victim's part is sound.
    CHECK(it.quarantine.judge({victim}) == part_state::suspected);
    CHECK(it.quarantine.judge({victim, bad}) == part_state::banned);
    it.quarantine.record_sound({victim}, it.clock.now());
    CHECK(it.quarantine.judge({victim}) == part_state::free);
    CHECK(it.quarantine.judge({bad}) == part_state::banned);
}

TEST_CASE("Crashes for another cause ban no part")
{
    crash_case it;

    SECTION("many at once, while no response was sound yet")
    {
        for (int n = 0; n < 12; ++n)
        {
            CHECK(it.crash({shared, rare}, 5ms).empty());
        }
        CHECK(it.quarantine.judge({shared, rare}) == part_state::suspected);
    }
    SECTION("a steady row of them, under parts with sound responses")
    {
        it.quarantine.record_sound({shared, rare}, it.clock.now());
        for (int n = 0; n < 100; ++n)
        {
            CHECK(it.crash({shared, rare}).empty());
        }
        CHECK(it.quarantine.judge({shared, rare}) == part_state::free);
    }
    SECTION("many series of them, at the load of a busy day with a few shared parts")
    {
        std::mt19937 random(46);
        auto draw = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
        constexpr int steps = 20000;
        constexpr int shared_parts = 4;
        constexpr int rare_parts = 400;
        for (int n = 0; n < steps; ++n)
        {
            it.clock.advance(10ms);
            std::vector<prompt_part> parts{prompt_part(draw(shared_parts)),
                                           prompt_part(shared_parts + draw(rare_parts))};
            // One request in thirty meets the end of its server.
            if (draw(30) == 0)
            {
                CHECK(it.quarantine.record_crash(parts, it.next_crash()).banned.empty());
            }
            else
            {
                it.quarantine.record_sound(parts, it.clock.now());
            }
        }
        CHECK(it.quarantine.bans().empty());
    }
}

TEST_CASE("Of a suspected part one request at a time is sent")
{
    crash_case it;
    CHECK(it.quarantine.begin_trial({bad}) == std::vector<prompt_part>());
    it.crash({shared, bad});
    it.quarantine.record_sound({shared}, it.clock.now());
    auto trial = it.quarantine.begin_trial({shared, bad});
    REQUIRE(trial == std::vector{bad});
    CHECK_FALSE(it.quarantine.begin_trial({bad, rare}));
    CHECK(it.quarantine.begin_trial({shared, rare}));

    SECTION("the next one when it has ended")
    {
        it.quarantine.end_trial(*trial);
        CHECK(it.quarantine.begin_trial({bad}));
    }
    SECTION("all of them when a response to one is sound")
    {
        it.quarantine.record_sound({shared, bad}, it.clock.now());
        CHECK(it.quarantine.begin_trial({bad}));
        CHECK(it.quarantine.begin_trial({bad}));
    }
}

TEST_CASE("A ban that another host decided on")
{
    crash_case it;

    SECTION("is taken once")
    {
        CHECK(it.quarantine.record_ban({.part = bad, .at = it.clock.now(), .with = {}},
                                       it.clock.now()));
        CHECK_FALSE(it.quarantine.record_ban({.part = bad, .at = it.clock.now(), .with = {}},
                                             it.clock.now()));
        CHECK(it.quarantine.judge({bad}) == part_state::banned);
    }
    SECTION("is not taken against a sound response")
    {
        it.quarantine.record_sound({shared}, it.clock.now());
        CHECK_FALSE(it.quarantine.record_ban({.part = shared, .at = it.clock.now(), .with = {}},
                                             it.clock.now()));
        CHECK(it.quarantine.judge({shared}) == part_state::free);
    }
    SECTION("ends when it is old, whichever host tells of it again")
    {
        auto banned_at = it.clock.now();
        it.quarantine.record_ban({.part = bad, .at = banned_at, .with = {}}, it.clock.now());
        it.clock.advance(599s);
        it.quarantine.expire(it.clock.now());
        CHECK(it.quarantine.judge({bad}) == part_state::banned);
        it.clock.advance(2s);
        it.quarantine.expire(it.clock.now());
        CHECK_FALSE(
            it.quarantine.record_ban({.part = bad, .at = banned_at, .with = {}}, it.clock.now()));
        CHECK(it.quarantine.judge({bad}) == part_state::free);
    }
}

TEST_CASE("What is kept of parts is bounded, whatever callers write")
{
    crash_case it;
    const prompt_quarantine_options options;
    for (int n = 0; n < 3; ++n)
    {
        it.crash({bad});
    }
    REQUIRE(it.quarantine.judge({bad}) == part_state::banned);
    it.quarantine.record_sound({shared}, it.clock.now());
    std::int64_t part = 1000;

    SECTION("a flood of parts in crashes does not displace a ban")
    {
        for (int n = 0; n < 2000; ++n)
        {
            it.crash({prompt_part(++part), prompt_part(++part)}, 10ms);
        }
        CHECK(it.quarantine.suspects() <= options.max_suspects);
        CHECK(it.quarantine.judge({bad}) == part_state::banned);
    }
    SECTION("a flood of parts in sound responses does not displace one that is used")
    {
        for (std::size_t n = 0; n < 3 * options.max_sound; ++n)
        {
            it.quarantine.record_sound({prompt_part(++part)}, it.clock.now());
            if (n % 100 == 0)
            {
                it.quarantine.record_sound({shared}, it.clock.now());
            }
        }
        CHECK(it.quarantine.sound_parts() <= options.max_sound);
        CHECK(it.quarantine.is_sound(shared));
    }
}
