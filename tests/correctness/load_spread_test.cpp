// Many hosts that choose servers at the same moment, by loads that are a little old, and what they
// learn of the servers' pace.

#include <algorithm>
#include <iostream>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "coordination/load_spread.hpp"
#include "coordination/server_pace.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

constexpr int slots = 16;
/// A request runs for a second on a server of speed 1. The fleet is used to 60 %.
constexpr double use = 0.6;
constexpr double run_s = 1.0;
constexpr double step_s = 0.01;
constexpr double length_s = 30;
/// From this fraction of its slots on a server's first events come late.
constexpr double late_load = 1.0;

struct fleet_result
{
    /// Load of the busiest server against the mean of all, in fractions of their capacity,
    /// averaged over time.
    double busiest = 0;
    /// Fraction of requests sent to a server whose places were all taken.
    double late = 0;
};

struct fleet_options
{
    int hosts = 77;
    double age_s = 0.25;
    bool spread = true;
    bool one_turns_slow = false;
};

/// All hosts hear of all loads each `age_s`, at the same moment; between two reports each knows its
/// own sends only.
fleet_result play(const fleet_options& it, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<double> speeds = {0.6, 0.6, 1.0, 1.0, 1.6, 1.6};
    const auto servers = speeds.size();
    double capacity = 0;
    for (double speed : speeds)
    {
        capacity += slots * speed;
    }
    double per_s = use * capacity / run_s;
    std::vector<double> running(servers, 0);
    std::vector<double> reported(servers, 0);
    std::vector<std::vector<double>> own(static_cast<std::size_t>(it.hosts),
                                         std::vector<double>(servers, 0));
    std::uniform_real_distribution<double> unit(0, 1);
    std::poisson_distribution<int> arrivals(per_s * step_s);
    double next_report = 0;
    fleet_result result;
    int sent = 0;
    int late = 0;
    int samples = 0;
    for (double now = 0; now < length_s; now += step_s)
    {
        if (it.one_turns_slow && now > length_s / 2)
        {
            speeds[5] = 0.6;
        }
        if (now >= next_report)
        {
            next_report += it.age_s;
            reported = running;
            for (auto& sends : own)
            {
                std::fill(sends.begin(), sends.end(), 0);
            }
        }
        for (int n = arrivals(random); n > 0; --n)
        {
            auto host = static_cast<std::size_t>(unit(random) * it.hosts);
            std::vector<spread_candidate> candidates;
            for (std::size_t server = 0; server < servers; ++server)
            {
                double places = slots * speeds[server];
                candidates.push_back(
                    {.cost = (reported[server] + own[host][server]) / places, .capacity = places});
            }
            double unseen = it.spread ? per_s * it.age_s / 2 : 0;
            auto chosen = choose_spread(candidates, unseen, unit(random));
            late += running[chosen] >= late_load * slots * speeds[chosen] ? 1 : 0;
            ++sent;
            running[chosen] += 1;
            own[host][chosen] += 1;
        }
        double sum = 0;
        double most = 0;
        for (std::size_t server = 0; server < servers; ++server)
        {
            // A server with more requests than places gives each of them less.
            double places = slots * speeds[server];
            running[server] -= std::min(running[server], places) * step_s / run_s;
            sum += running[server];
            most = std::max(most, running[server] / places);
        }
        if (now > 2)
        {
            result.busiest += most / (sum / capacity);
            ++samples;
        }
    }
    result.busiest /= samples;
    result.late = static_cast<double>(late) / sent;
    return result;
}

} // namespace

// Guards against servers that are overrun in turns while others idle, because all hosts choose the
// one that looked the least loaded in the last reports.
TEST_CASE("many hosts load their servers evenly by old reports")
{
    for (int hosts : {77, 300})
    {
        for (double age_s : {0.05, 0.25, 1.0})
        {
            for (bool one_turns_slow : {false, true})
            {
                fleet_options options{.hosts = hosts,
                                      .age_s = age_s,
                                      .spread = true,
                                      .one_turns_slow = one_turns_slow};
                auto spread = play(options, 1);
                options.spread = false;
                auto least = play(options, 1);
                std::cout << "hosts=" << hosts << " age_ms=" << age_s * 1000
                          << " one_turns_slow=" << one_turns_slow
                          << " busiest_to_mean spread=" << spread.busiest
                          << " least=" << least.busiest << " late spread=" << spread.late
                          << " least=" << least.late << "\n";
                CHECK(spread.busiest < 1.6);
                CHECK(spread.busiest <= least.busiest + 0.05);
                CHECK(spread.late <= least.late + 0.01);
            }
        }
    }
}

TEST_CASE("a server is chosen as often as all hosts together should choose it")
{
    std::vector<spread_candidate> candidates = {{.cost = 0.5, .capacity = 10},
                                                {.cost = 0.1, .capacity = 10},
                                                {.cost = 0.1, .capacity = 20}};
    auto share = [&](double unseen, std::size_t server)
    {
        int n = 0;
        for (int draw = 0; draw < 1000; ++draw)
        {
            n += choose_spread(candidates, unseen, draw / 1000.0) == server ? 1 : 0;
        }
        return n / 1000.0;
    };

    SECTION("with nothing unseen the cheapest one")
    {
        CHECK(share(0, 1) == 1);
    }
    SECTION("with a few the cheap ones, by their capacity")
    {
        CHECK(share(5, 0) == 0);
        CHECK(share(5, 1) == Approx(1.0 / 3).margin(0.01));
        CHECK(share(5, 2) == Approx(2.0 / 3).margin(0.01));
    }
    SECTION("with many all of them, the loaded one less often")
    {
        // 40 requests fill all three up to a level of 1.2.
        CHECK(share(39, 0) == Approx(0.175).margin(0.02));
        CHECK(share(39, 1) == Approx(0.275).margin(0.02));
    }
}

// Guards against slow servers that get as many requests as fast ones, and against a server that is
// taken for a slow one because of one pause.
TEST_CASE("the pace of servers is learned from the streams that pass")
{
    instant now{1h};
    server_pace pace;
    const server_id slow("slow");
    const server_id fast("fast");
    const server_id usual("usual");
    const model_id model("m");
    auto play_streams = [&](int streams)
    {
        for (int n = 0; n < streams; ++n)
        {
            pace.record(usual, model, 45ms, 30, now);
            pace.record(slow, model, 75ms, 30, now);
            pace.record(fast, model, 28ms, 30, now);
            now += 500ms;
        }
    };

    SECTION("servers of three speeds are told apart")
    {
        play_streams(20);
        CHECK(pace.speed(slow, now) < 0.8);
        CHECK(pace.speed(fast, now) > 1.3);
        CHECK(pace.speed(usual, now) == Approx(1).margin(0.25));
        CHECK(pace.speed(server_id("new"), now) == 1);

        SECTION("and what was learned is forgotten")
        {
            now += 120s;
            pace.expire(now);
            CHECK(pace.speed(slow, now) == 1);
            CHECK_FALSE(pace.own(slow, now));
        }
    }
    SECTION("one stream with a pause does not make a server slow")
    {
        for (int n = 0; n < 10; ++n)
        {
            pace.record(usual, model, 45ms, 30, now);
            now += 500ms;
        }
        pace.record(usual, model, 90ms, 30, now);
        CHECK(pace.speed(usual, now) == 1);
    }
    SECTION("models differ in pace, and servers do not by that")
    {
        for (int n = 0; n < 20; ++n)
        {
            pace.record(usual, model, 45ms, 30, now);
            pace.record(usual, model_id("small"), 15ms, 30, now);
            now += 300ms;
        }
        CHECK(pace.speed(usual, now) == 1);
    }
    SECTION("hosts learn from each other, and an older report changes nothing")
    {
        play_streams(20);
        server_pace other;
        auto told = pace.own(slow, now);
        REQUIRE(told);
        other.apply(host_id("h1"), slow, *told);
        CHECK(other.speed(slow, now) < 0.9);
        other.apply(host_id("h1"), slow, {.slowness = -1, .weight = 30, .at = now - 1s});
        CHECK(other.speed(slow, now) < 0.9);
        CHECK_FALSE(other.own(slow, now));
    }
    SECTION("short streams say nothing")
    {
        pace.record(slow, model, 500ms, server_pace::min_events - 1, now);
        CHECK_FALSE(pace.own(slow, now));
    }
}
