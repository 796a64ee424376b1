// Which engines may still read an order that was given before.

#include <catch2/catch.hpp>

#include "coordination/order_history.hpp"

using namespace banyanshunt;
using namespace std::chrono_literals;

namespace
{

const server_id engine("e1");
const instant start{std::chrono::hours(1)};
/// Older than every order.
constexpr order_history::registered_engine old_process{.start_time_ms = 7,
                                                       .process_started_at = instant()};

bool any_engine(const server_id&)
{
    return true;
}

} // namespace

TEST_CASE("An order that an engine has not read keeps the orders of other hosts away (ONE)")
{
    constexpr auto lease = 3000ms;
    constexpr auto open_order_time = 6000ms;
    order_history history({.lease = lease, .open_order_time = open_order_time});
    history.observe({{engine, old_process}}, start);

    const order_history::claim of_other_host{.taken = {.may_order_at = start + 6s,
                                                       .last_order_at = {},
                                                       .ask_engines_after = start + 3s,
                                                       .from_other_host = true},
                                             .fence = fencing_number(5)};
    const order_history::claim released{.taken = {.may_order_at = start, .last_order_at = {}},
                                        .fence = fencing_number(5)};
    const order_history::claim own_again{
        .taken = {.may_order_at = start, .last_order_at = {}, .ask_engines_after = start},
        .fence = fencing_number(5)};
    auto settled = [&](const order_history::claim& it, instant now)
    { return history.is_settled(it, any_engine, now); };

    SECTION("the owner before did not release the engine")
    {
        SECTION("it does not respond: no order, and nothing is stated to the next owner")
        {
            CHECK_FALSE(history.first_order_at(engine, of_other_host));
            CHECK(history.awaits_response_after(engine, of_other_host) == start + 3s);
            CHECK_FALSE(settled(of_other_host, start + 60s));
        }
        SECTION("it responds at once: the takeover takes no longer than without the call")
        {
            history.record_response(engine, of_other_host, start + 3s, start + 3s);
            CHECK(history.first_order_at(engine, of_other_host) == start + 6s);
            CHECK(settled(of_other_host, start + 6s));
        }
        SECTION("it responded to a call that was sent too early: that shows nothing")
        {
            history.record_response(engine, of_other_host, start + 2s, start + 4s);
            CHECK_FALSE(history.first_order_at(engine, of_other_host));
        }
        SECTION("it responds late, and reads the order then")
        {
            const instant responded = start + 20s;
            history.record_response(engine, of_other_host, start + 19s, responded);
            CHECK(history.first_order_at(engine, of_other_host) == responded + lease);
            CHECK_FALSE(settled(of_other_host, responded + 1s));
            CHECK(settled(of_other_host, responded + lease));
            CHECK(history.last_order_at(any_engine) == responded);
        }
        SECTION("its process started after the last order of the owner before")
        {
            const server_id young("e2");
            history.observe({{engine, old_process},
                             {young, {.start_time_ms = 9, .process_started_at = start + 20s}}},
                            start + 21s);
            CHECK(history.first_order_at(young, of_other_host) == start + 6s);
        }
    }

    SECTION("the owner before released it: its orders had responses")
    {
        CHECK(history.first_order_at(engine, released) == start);
        CHECK(settled(released, start));
    }

    SECTION("an order of this host has no response")
    {
        const instant given_up = start + 10s;
        history.record_order(engine, fencing_number(5), false, given_up);
        CHECK_FALSE(settled(released, given_up + 30s));

        SECTION("the engine responds to a later call, which may have overtaken the order")
        {
            history.record_response(engine, released, given_up + 1s, given_up + 1s);
            CHECK_FALSE(settled(released, given_up + 2s));
            CHECK(settled(released, given_up + open_order_time));
        }
        SECTION("its entry leaves the registry meanwhile")
        {
            history.observe({}, given_up + 4s);
            CHECK_FALSE(settled(released, given_up + 4s));
        }
        SECTION("its process ends: the next one may read an order that a link held up")
        {
            history.observe({{engine, {.start_time_ms = 8, .process_started_at = given_up + 1s}}},
                            given_up + 2s);
            CHECK_FALSE(settled(released, given_up + 2s));
            history.record_response(engine, released, given_up + 2s, given_up + 2s);
            CHECK_FALSE(settled(released, given_up + 3s));
            CHECK(settled(released, given_up + open_order_time));
        }
        SECTION("the host loses the engine and claims it again, with a higher number")
        {
            const order_history::claim again{.taken = own_again.taken, .fence = fencing_number(8)};
            CHECK(history.first_order_at(engine, again) == given_up + open_order_time);
        }
    }

    SECTION("its entry leaves the registry and comes back: it may have been stalled")
    {
        history.observe({}, start + 1s);
        history.observe({{engine, old_process}}, start + 9s);
        CHECK_FALSE(history.first_order_at(engine, released));
        history.record_response(engine, released, start + 9s, start + 10s);
        CHECK(history.first_order_at(engine, released) == start + 10s + lease);
    }

    SECTION("a host that claims its engines again states nothing of them before they respond")
    {
        CHECK(history.first_order_at(engine, own_again) == start);
        CHECK_FALSE(settled(own_again, start + 1s));
        history.record_response(engine, own_again, start + 1s, start + 1s);
        CHECK(settled(own_again, start + 1s));
    }

    SECTION("an order is answered after the engine was given up: it counts as the last one")
    {
        history.record_order(engine, fencing_number(5), true, start + 2s);
        CHECK(history.last_order_at(any_engine) == start + 2s);
    }
}

TEST_CASE("Another host orders an engine a lease after the last order can be carried out (ONE)")
{
    constexpr auto lease = 3000ms;
    constexpr auto order_delay = 12000ms;
    constexpr auto open_order_time = 12450ms;
    order_history history(
        {.lease = lease, .open_order_time = open_order_time, .order_delay = order_delay});
    history.observe({{engine, old_process}}, start);
    const order_history::claim own{
        .taken = {.claimed_at = start, .may_order_at = start, .last_order_at = {}},
        .fence = fencing_number(5)};

    SECTION("every order had a response: a lease after the last one")
    {
        history.record_order(engine, own.fence, true, start + 5s);
        CHECK(history.free_at(own, any_engine) == start + 5s + lease);
    }
    SECTION("an order had none: nothing can be said before the engine responds again")
    {
        const instant given_up = start + 5s;
        history.record_order(engine, own.fence, false, given_up);
        CHECK_FALSE(history.free_at(own, any_engine));
        history.record_response(engine, own, given_up + 1s, given_up + 1s);
        CHECK(history.free_at(own, any_engine) == given_up + open_order_time + lease);
    }
    SECTION("the owner before is gone and may have left orders")
    {
        const order_history::claim next{.taken = {.claimed_at = start,
                                                  .may_order_at = start + 6s,
                                                  .last_order_at = {},
                                                  .ask_engines_after = start + 3s,
                                                  .from_other_host = true,
                                                  .late_orders_end = start + 18s},
                                        .fence = fencing_number(7)};
        CHECK_FALSE(history.free_at(next, any_engine));
        SECTION("engines carry orders out as they arrive: a lease after the first response")
        {
            history.record_response(engine, next, start + 9s, start + 10s);
            CHECK(history.first_order_at(engine, next) == start + 10s + lease);
            CHECK(history.free_at(next, any_engine) == start + 10s + lease);
        }
        SECTION("an engine carries orders out late")
        {
            history.record_late_order(start - 1s);
            SECTION("it may have read the last one right before its first response")
            {
                history.record_response(engine, next, start + 9s, start + 10s);
                CHECK(history.first_order_at(engine, next) == start + 10s + order_delay + lease);
                CHECK(history.free_at(next, any_engine) == start + 10s + order_delay + lease);
            }
            SECTION("it responds at once")
            {
                history.record_response(engine, next, start + 3s, start + 3s);
                CHECK(history.first_order_at(engine, next) == start + 18s);
                CHECK(history.free_at(next, any_engine) == start + 18s);
            }
        }
        SECTION("this is known only after the claim: its wait becomes longer")
        {
            history.record_response(engine, next, start + 3s, start + 3s);
            CHECK(history.first_order_at(engine, next) == start + 6s);
            history.record_late_order(start + 5s);
            CHECK(history.first_order_at(engine, next) == start + 18s);
        }
        SECTION("this is known only when it may order already: it goes on")
        {
            history.record_response(engine, next, start + 3s, start + 3s);
            history.record_late_order(start + 7s);
            CHECK(history.first_order_at(engine, next) == start + 6s);
        }
        SECTION("late orders before the claim go on after it")
        {
            history.record_response(engine, next, start + 3s, start + 3s);
            history.record_late_order(start - 1s);
            history.record_late_order(start + 7s);
            CHECK(history.first_order_at(engine, next) == start + 18s);
        }
        SECTION("the last late order was carried out before the claim")
        {
            history.record_late_order(start - order_delay - 1s);
            history.record_response(engine, next, start + 3s, start + 3s);
            CHECK(history.first_order_at(engine, next) == start + 6s);
        }
    }
    SECTION("an order without a response shows whether engines carry orders out late")
    {
        const instant given_up = start + 5s;
        history.record_order(engine, own.fence, false, given_up);
        SECTION("the engine responds to a later call at once, so it has read the order")
        {
            CHECK(history.record_response(engine, own, given_up + 100ms, given_up + 110ms) ==
                  given_up);
        }
        SECTION("the engine was silent for seconds, or cut off")
        {
            CHECK_FALSE(history.record_response(engine, own, given_up + 4s, given_up + 4s));
        }
        SECTION("the call was sent before")
        {
            CHECK_FALSE(history.record_response(engine, own, given_up - 1ms, given_up + 1ms));
        }
    }
    SECTION("this host goes on with its own takeover, whose orders it may have left")
    {
        const order_history::claim again{.taken = {.claimed_at = start,
                                                   .may_order_at = start,
                                                   .last_order_at = start,
                                                   .late_orders_end = start + 15s,
                                                   .resumed_fence = fencing_number(5)},
                                         .fence = fencing_number(5)};
        history.record_late_order(start);
        CHECK(history.first_order_at(engine, again) == start);
        CHECK(history.free_at(again, any_engine) == start + 15s);
    }
    SECTION("the engine was absent while this host owned it: no other host has ordered it")
    {
        history.observe({}, start + 1s);
        history.observe({{engine, old_process}}, start + 9s);
        history.record_response(engine, own, start + 9s, start + 10s);
        CHECK(history.first_order_at(engine, own) == start + 10s + lease);
    }
}
