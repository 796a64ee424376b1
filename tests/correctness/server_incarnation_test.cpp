// Which entry of a server is its newest, evacuated failure domains, and cold servers.

#include <catch2/catch.hpp>

#include "coordination/backend_table.hpp"
#include "coordination/permit_schedule.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id desk("d1");

backend_entry entry_of(std::int64_t start_time_ms, std::int64_t sequence)
{
    backend_entry entry;
    entry.id = desk;
    entry.service = service_id("desk");
    entry.domain = domain_id("north");
    entry.slots = 8;
    entry.start_time_ms = start_time_ms;
    entry.sequence = sequence;
    return entry;
}

using action_kind = server_choice::action_kind;

} // namespace

// Guards against a server that is known for good by a start while its clock was ahead, and against
// an entry of another writer that outranks all later ones.
TEST_CASE("the log's order tells which entry of a server is its newest")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north")});
    auto is_chosen = [&]
    {
        server_criteria need{.service = service_id("desk"), .target = {}, .tried = {}};
        return table.choose(need, nullptr, now).action == action_kind::send;
    };

    SECTION("a start with the clock ahead is followed by one with the right clock")
    {
        REQUIRE(table.apply_entry(entry_of(3400, 9), now, log_offset(10)));
        REQUIRE(table.apply_entry(entry_of(1000, 1), now, log_offset(11)));
        CHECK(table.accepts(desk, 1000, now));

        auto draining = entry_of(1000, 2);
        draining.draining = true;
        now += 1s;
        CHECK(table.apply_entry(draining, now, log_offset(12)));
        CHECK_FALSE(is_chosen());
        CHECK_FALSE(table.accepts(desk, 1000, now));
    }
    SECTION("the first of these incarnations had left: the second takes requests")
    {
        auto draining = entry_of(3400, 9);
        draining.draining = true;
        table.apply_entry(entry_of(3400, 8), now, log_offset(9));
        table.apply_entry(draining, now, log_offset(10));
        CHECK_FALSE(is_chosen());
        now += 1s;
        REQUIRE(table.apply_entry(entry_of(1000, 1), now, log_offset(11)));
        CHECK(is_chosen());

        SECTION("its own leaving is believed, also from a peer")
        {
            now += 1s;
            table.notices().record_leaving(
                desk, {.start_time_ms = 1000, .source = notice_source::peer, .stated_at = now},
                now);
            CHECK_FALSE(is_chosen());
        }
    }
    SECTION("an entry with a high sequence or a late start is followed by the server's own")
    {
        REQUIRE(table.apply_entry(entry_of(1000, 5), now, log_offset(10)));
        table.apply_entry(entry_of(1000, 2000000), now, log_offset(11));
        CHECK(table.apply_entry(entry_of(1000, 6), now, log_offset(12)));
        table.apply_entry(entry_of(9000000, 1), now, log_offset(13));
        CHECK(table.apply_entry(entry_of(1000, 7), now, log_offset(14)));
        CHECK(table.accepts(desk, 1000, now));
    }
    SECTION("an older record that arrives late changes nothing")
    {
        table.apply_entry(entry_of(1000, 5), now, log_offset(10));
        CHECK_FALSE(table.apply_entry(entry_of(3400, 9), now, log_offset(4)));
        CHECK(table.accepts(desk, 1000, now));
    }
    SECTION("after a complete read the log's offsets begin anew")
    {
        table.apply_entry(entry_of(1000, 5), now, log_offset(1000000));
        table.forget_offsets();
        CHECK(table.apply_entry(entry_of(1000, 6), now, log_offset(3)));
    }
}

// Guards against requests to servers whose failure domain the operator has evacuated.
TEST_CASE("servers of an evacuated failure domain get no requests")
{
    instant now{1h};
    backend_table table({.own_domain = domain_id("north")});
    table.apply_entry(entry_of(1000, 1), now);
    auto other = entry_of(1000, 1);
    other.id = server_id("d2");
    other.domain = domain_id("south");
    table.apply_entry(other, now);
    server_criteria need{.service = service_id("desk"), .target = {}, .tried = {}};
    REQUIRE(table.choose(need, nullptr, now).server == desk);

    CHECK(table.set_evacuated({domain_id("north")}));
    CHECK_FALSE(table.set_evacuated({domain_id("north")}));
    CHECK(table.choose(need, nullptr, now).server == other.id);
    CHECK_FALSE(table.accepts(desk, 1000, now));

    SECTION("with all domains evacuated none is chosen")
    {
        table.set_evacuated({domain_id("north"), domain_id("south")});
        CHECK(table.choose(need, nullptr, now).action == action_kind::none);
    }
    SECTION("taken back, they get requests again")
    {
        table.set_evacuated({});
        CHECK(table.choose(need, nullptr, now).server == desk);
        CHECK(table.accepts(desk, 1000, now));
    }
}

// Guards against a server that crashes because all hosts send to it while it is cold.
TEST_CASE("a cold server gets no more requests in any second than it may")
{
    constexpr double per_s = 13;
    constexpr double allowed = 13 * 1.5 + 5;
    instant now{1h};
    auto rate = cold_permit_rate(allowed, per_s);
    permit_schedule schedule(rate, now);
    std::vector<instant> uses;

    SECTION("whenever its permits are used while they are valid")
    {
        for (bool late : {false, true})
        {
            uses.clear();
            for (int n = 0; n < 4000; ++n)
            {
                now += 1ms;
                auto grant = schedule.request(0ms, now);
                if (grant.granted)
                {
                    // Half of them at the end of their validity, beside later ones.
                    uses.push_back(now + (late && n < 2000 ? 500ms : 0ms));
                }
            }
            for (instant from : uses)
            {
                auto n = std::count_if(uses.begin(), uses.end(),
                                       [&](instant at) { return at >= from && at < from + 1s; });
                CHECK(static_cast<double>(n) <= allowed);
            }
        }
    }
    SECTION("its limit counts beside the one that it states, and ends with its time")
    {
        server_limits limits;
        CHECK(limits.set_cold(desk, {.start_time_ms = 1, .rate = rate, .until = now + 2s}));
        CHECK_FALSE(limits.set_cold(desk, {.start_time_ms = 1, .rate = rate, .until = now + 2s}));
        CHECK(limits.rate(desk) == rate);
        limits.record(desk,
                      {.start_time_ms = 1, .rate = millirequests_per_second(2000), .at = now});
        CHECK(limits.rate(desk) == millirequests_per_second(2000));
        limits.record(desk, {.start_time_ms = 1, .rate = std::nullopt, .at = now + 1ms});
        CHECK(limits.rate(desk) == rate);
        limits.expire(now + 2s);
        CHECK_FALSE(limits.in_force(desk));
    }
    SECTION("another incarnation is not limited by it")
    {
        server_limits limits;
        limits.set_cold(desk, {.start_time_ms = 1, .rate = rate, .until = now + 2s});
        limits.forget_earlier(desk, 2);
        CHECK_FALSE(limits.in_force(desk));
    }
}
