/// \file
/// Requests that wait for a replica: the order is fair over workspaces, the queue is bounded, and
/// no request is lost.

#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "coordination/fair_permits.hpp"
#include "coordination/wait_estimate.hpp"
#include "coordination/waiting_queue.hpp"

using namespace banyanshunt;

namespace
{

waiting_request request_of(std::uint64_t number, const std::string& workspace,
                           std::int64_t cost_tokens = 10)
{
    return {.number = number,
            .filter = {.model = model_id("m"), .adapter = {}, .prefix = {}, .refused_by = {}},
            .workspace = workspace_id(workspace),
            .key = key_id("k"),
            .cost = tokens(cost_tokens),
            .deadline = instant::max()};
}

constexpr auto any = [](const waiting_request&) { return true; };

} // namespace

TEST_CASE("the queue serves workspaces by the cost each was served")
{
    waiting_queue queue(100);

    SECTION("a workspace that sends five times as much does not delay another")
    {
        for (std::uint64_t n = 0; n < 40; ++n)
        {
            REQUIRE(queue.push(request_of(n, "flood")));
        }
        for (std::uint64_t n = 100; n < 104; ++n)
        {
            REQUIRE(queue.push(request_of(n, "quiet")));
        }
        int quiet_done = 0;
        for (int taken = 0; taken < 8; ++taken)
        {
            quiet_done += queue.take_next(any)->workspace == workspace_id("quiet") ? 1 : 0;
        }
        CHECK(quiet_done == 4);
    }
    SECTION("cost counts, not the number of requests")
    {
        for (std::uint64_t n = 0; n < 10; ++n)
        {
            REQUIRE(queue.push(request_of(n, "long", 40)));
            REQUIRE(queue.push(request_of(100 + n, "short", 10)));
        }
        std::int64_t served_long = 0;
        std::int64_t served_short = 0;
        for (int taken = 0; taken < 10; ++taken)
        {
            auto it = queue.take_next(any);
            (it->workspace == workspace_id("long") ? served_long : served_short) +=
                it->cost.count();
        }
        CHECK(std::abs(served_long - served_short) <= tokens(40).count());
    }
    SECTION("an idle workspace accumulates no advantage")
    {
        for (std::uint64_t n = 0; n < 20; ++n)
        {
            REQUIRE(queue.push(request_of(n, "early")));
        }
        for (int taken = 0; taken < 10; ++taken)
        {
            (void)queue.take_next(any);
        }
        REQUIRE(queue.push(request_of(100, "late")));
        REQUIRE(queue.push(request_of(101, "late")));
        std::vector<std::string> order;
        order.reserve(4);
        for (int taken = 0; taken < 4; ++taken)
        {
            order.push_back(queue.take_next(any)->workspace.str());
        }
        CHECK(std::count(order.begin(), order.end(), "early") == 2);
    }
    SECTION("a request that cannot be placed does not stop those behind it")
    {
        REQUIRE(queue.push(request_of(1, "a")));
        REQUIRE(queue.push(request_of(2, "a")));
        auto it = queue.take_next([](const waiting_request& r) { return r.number == 2; });
        REQUIRE(it);
        CHECK(it->number == 2);
        CHECK(queue.size() == 1);
    }
}

TEST_CASE("a flood cannot fill the queue")
{
    waiting_queue queue(64);
    std::uint64_t n = 0;
    while (queue.push(request_of(n, "flood")))
    {
        ++n;
    }
    CHECK(n == 32);
    for (int i = 0; i < 8; ++i)
    {
        CHECK(queue.push(request_of(1000 + n++, "quiet")));
    }
    static_assert(may_acquire_permit(0, 63, 64));
    static_assert(!may_acquire_permit(0, 64, 64));
}

TEST_CASE("permits of requests in flight")
{
    fair_permits permits(8);
    std::vector<fair_permits::permit> flood;
    for (auto it = permits.acquire(workspace_id("flood")); it;
         it = permits.acquire(workspace_id("flood")))
    {
        flood.push_back(it);
    }
    CHECK(flood.size() == 4);
    auto quiet = permits.acquire(workspace_id("quiet"));
    CHECK(quiet);
    CHECK(!permits.acquire(workspace_id("flood")));
    quiet = nullptr;
    CHECK(!permits.acquire(workspace_id("flood")));
    flood.pop_back();
    CHECK(permits.acquire(workspace_id("flood")));
}

TEST_CASE("every request that is pushed is removed exactly once")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        std::mt19937_64 random(seed);
        waiting_queue queue(30);
        std::set<std::uint64_t> inside;
        std::uint64_t next = 0;
        auto leave = [&](std::uint64_t number) { REQUIRE(inside.erase(number) == 1); };
        for (int step = 0; step < 300; ++step)
        {
            switch (random() % 4)
            {
            case 0:
            case 1:
                if (queue.push(request_of(next,
                                          std::string(1, static_cast<char>('a' + random() % 4)),
                                          1 + static_cast<std::int64_t>(random() % 50))))
                {
                    inside.insert(next);
                }
                ++next;
                break;
            case 2:
                if (auto it =
                        queue.take_next([&](const waiting_request&) { return random() % 3 > 0; }))
                {
                    leave(it->number);
                }
                break;
            default:
                for (const auto& it :
                     queue.extract_if([&](const waiting_request& r) { return r.number % 7 == 0; }))
                {
                    leave(it.number);
                }
            }
            REQUIRE(queue.size() == inside.size());
        }
        while (auto it = queue.take_next(any))
        {
            leave(it->number);
        }
        REQUIRE(inside.empty());
    }
}

TEST_CASE("the estimate of the wait on arrival")
{
    CHECK(!estimate_wait({.waiting = 5, .slots = 0, .hold_time = milliseconds(100)}));
    CHECK(!estimate_wait({.waiting = 5, .slots = 2}));
    CHECK(*estimate_wait(
              {.waiting = 9, .own_waiting = 9, .slots = 2, .hold_time = milliseconds(100)}) ==
          milliseconds(500));
    // Of a hundred waiting requests, only those that fair order serves first count as ahead.
    CHECK(*estimate_wait({.waiting = 100,
                          .own_waiting = 0,
                          .workspaces = 2,
                          .slots = 1,
                          .hold_time = milliseconds(100)}) == milliseconds(200));
}
