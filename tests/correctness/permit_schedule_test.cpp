#include <catch2/catch.hpp>

#include <set>

#include "coordination/permit_schedule.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id server("s1");
constexpr millirequests_per_second two(2000);
constexpr millirequests_per_second forty(40000);

/// The permits granted when many requests that cannot wait come every millisecond.
int count_permits(permit_schedule& schedule, instant from, nanoseconds length)
{
    int sum = 0;
    for (instant now = from; now < from + length; now += 1ms)
    {
        for (int n = 0; n < 10; ++n)
        {
            sum += schedule.request(0ms, now).granted ? 1 : 0;
        }
    }
    return sum;
}

} // namespace

TEST_CASE("Permits for a server are granted at the rate that it states")
{
    instant now = instant(1h);

    SECTION("a low rate: one after the other")
    {
        permit_schedule schedule(two, now);
        CHECK(count_permits(schedule, now, 4s) == 8);
    }
    SECTION("a high rate: small bursts, and no more than the rate in sum")
    {
        permit_schedule schedule(forty, now);
        CHECK(count_permits(schedule, now, 1ms) == 10);
        CHECK(count_permits(schedule, now + 1ms, 4s) == 160);
    }
    SECTION("requests that can wait are spread, not released together")
    {
        permit_schedule schedule(two, now);
        for (auto wait : {0ms, 500ms, 1000ms, 1500ms, 2000ms})
        {
            auto grant = schedule.request(2s, now);
            CHECK(grant.granted);
            CHECK(grant.wait == wait);
        }
        auto refused = schedule.request(2s, now);
        CHECK_FALSE(refused.granted);
        CHECK(refused.wait == 2500ms);

        AND_WHEN("the limit falls, those that are due are kept further apart")
        {
            schedule.set_rate(millirequests_per_second(1000), now);
            CHECK(schedule.request(0ms, now).wait == 5s);
        }
        AND_WHEN("the limit rises, the next one is due earlier")
        {
            schedule.set_rate(millirequests_per_second(10000), now);
            CHECK(schedule.request(0ms, now).wait == 500ms - 150ms);
        }
    }
    SECTION("requests from before the limit was known delay the next permit")
    {
        permit_schedule schedule(two, now);
        schedule.charge(2, now);
        CHECK(schedule.request(0ms, now).granted);

        permit_schedule overrun(two, now);
        overrun.charge(3, now);
        overrun.charge(3, now);
        CHECK(overrun.request(0ms, now).wait == 2s);

        AND_WHEN("they are many, for a few seconds at most")
        {
            overrun.charge(1000, now);
            CHECK(overrun.request(0ms, now).wait == 3s);
        }
    }
    SECTION("a server that takes nothing gets a request now and then, to show when that ends")
    {
        permit_schedule schedule(millirequests_per_second(0), now);
        CHECK(count_permits(schedule, now, 12s) == 3);
    }
}

TEST_CASE("A server reborn under its id starts with permits of its own")
{
    permit_ledger ledger;
    instant now = instant(1h);
    ledger.charge(server, 1, two, 100, now);
    CHECK_FALSE(ledger.request(server, 1, two, 0ms, now).granted);
    CHECK(ledger.request(server, 2, two, 0ms, now).granted);
}

TEST_CASE("Hosts agree on who grants a server's permits, and cut ones grant no more in sum")
{
    std::vector<host_id> hosts;
    hosts.reserve(81);
    for (int n = 0; n < 81; ++n)
    {
        hosts.emplace_back("host-" + std::to_string(n));
    }
    auto reversed = std::vector<host_id>(hosts.rbegin(), hosts.rend());
    std::set<host_id> granters;
    for (int n = 0; n < 100; ++n)
    {
        server_id it("server-" + std::to_string(n));
        CHECK(permit_granter(it, hosts) == permit_granter(it, reversed));
        granters.insert(permit_granter(it, hosts));
    }
    CHECK(granters.size() > 40);

    CHECK(reachable_rate(two, 81, 81) == two);
    CHECK(reachable_rate(two, 90, 81) == two);
    auto sum = reachable_rate(two, 40, 81) + reachable_rate(two, 41, 81);
    CHECK(sum <= two);
    CHECK(sum >= millirequests_per_second(1990));
}
