/// \file
/// Lesson 1: a ticket changes the state, and all hosts that read the same log arrive at the same
/// state. Run it with `build/lesson-01-tickets`.

#include <fmt/format.h>

#include "coordination/ticket_acceptance.hpp"
#include "protocol/ticket_codec.hpp"

using namespace banyanshunt;

int main()
{
    // A ticket is text. It carries the complete new state of each object that it touches.
    auto first = decode_ticket(R"({
        "format": 1, "ticket": 1,
        "workspaces": {"clinics": {"tokens_per_second": 100, "burst_tokens": 500}}
    })");
    check_invariant(first.has_value(), "the first ticket is well formed");

    // Accepting a ticket is a pure function of the previous state, the ticket and its log offset.
    fleet_state before;
    fleet_state after = accept_ticket(before, *first, log_offset(0))->state;
    const workspace_object* clinics = find_object(after.workspaces, workspace_id("clinics"));
    fmt::print("clinics may use {} tokens a second\n",
               clinics->rate.count() / millitokens_per_token);

    // An operator who did not receive the response publishes the same ticket again; this is
    // harmless.
    auto repeated = accept_ticket(after, *first, log_offset(1));
    check_invariant(repeated.has_value() && repeated->duplicate,
                    "a repeated ticket changes nothing");

    // A different ticket with a number already in use is refused, and the state does not change.
    auto other = decode_ticket(R"({"format": 1, "ticket": 1, "note": "another"})");
    auto conflicting = accept_ticket(after, *other, log_offset(2));
    check_invariant(!conflicting.has_value(), "a ticket number in use is refused");
    fmt::print("refused: {}\n", conflicting.error().detail);

    // States merge object by object; the order in which a host receives them does not matter.
    check_invariant(merge(before, after).workspaces == merge(after, before).workspaces,
                    "a merge does not depend on order");
    return 0;
}
