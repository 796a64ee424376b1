/// \file
/// Lesson 1: a ticket changes the state, and every host that reads the same log comes to the same
/// state. Run it with `build/lesson-01-tickets`.

#include <fmt/format.h>

#include "coordination/ticket_acceptance.hpp"
#include "protocol/ticket_codec.hpp"

using namespace banyanshunt;

int main()
{
    // A ticket is text. It carries the whole new state of each object that it touches.
    auto first = decode_ticket(R"({
        "format": 1, "ticket": 1,
        "workspaces": {"clinics": {"tokens_per_second": 100, "burst_tokens": 500}}
    })");
    check_invariant(first.has_value(), "the first ticket is well formed");

    // Accepting it is a pure function: the state before, the ticket and its offset in the log give
    // the state after.
    fleet_state before;
    fleet_state after = accept_ticket(before, *first, log_offset(0))->state;
    const workspace_object* clinics = find_object(after.workspaces, workspace_id("clinics"));
    fmt::print("clinics may use {} tokens a second\n",
               clinics->rate.count() / millitokens_per_token);

    // An operator who lost the answer publishes the same ticket again: harmless.
    auto again = accept_ticket(after, *first, log_offset(1));
    check_invariant(again.has_value() && again->duplicate, "a repeated ticket changes nothing");

    // Another ticket whose number was taken is refused, and the state stays as it is.
    auto other = decode_ticket(R"({"format": 1, "ticket": 1, "note": "another"})");
    auto late = accept_ticket(after, *other, log_offset(2));
    check_invariant(!late.has_value(), "a taken number is refused");
    fmt::print("refused: {}\n", late.error().detail);

    // States merge object by object; it does not matter in which order a host hears of them.
    check_invariant(merge(before, after).workspaces == merge(after, before).workspaces,
                    "a merge does not depend on order");
    return 0;
}
