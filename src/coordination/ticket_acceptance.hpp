#pragma once

/// \file
/// Defines the acceptance of tickets: a pure function from the state before a ticket, and the
/// ticket, to the state after it or a refusal. Every host that reads the same prefix of the log
/// comes to the same result.

#include "coordination/ticket.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The state after an accepted ticket.
struct accepted_state
{
    fleet_state state;
    /// The ticket repeats one that was accepted before, byte for byte, and changed nothing.
    bool duplicate = false;
};

/// Decides on `definition`, read at `offset`, against the state before it.
///
/// Fails with `errc::ticket_out_of_order` when the number is not above the last accepted one, or
/// was taken by another ticket, and with `errc::ticket_malformed` when the ticket refers to what
/// would not exist after it.
verdict<accepted_state> accept_ticket(const fleet_state& before, const ticket& it,
                                      log_offset offset);

} // namespace banyanshunt
