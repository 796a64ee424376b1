#pragma once

/// \file
/// The acceptance of tickets: a pure function that maps the state before a ticket, and the ticket,
/// to the state after it or to a refusal. Every host that reads the same prefix of the log computes
/// the same result.

#include "coordination/ticket.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The state after an accepted ticket.
struct accepted_state
{
    fleet_state state;
    /// The ticket is a byte-for-byte duplicate of one accepted earlier, and changed nothing.
    bool duplicate = false;
};

/// Validates ticket `it`, read at `offset`, against the state before it and applies it.
///
/// Fails with `errc::ticket_out_of_order` when the number is not above the last accepted one, or
/// belongs to a different ticket, and with `errc::ticket_malformed` when the ticket refers to an
/// object that would not exist after it.
verdict<accepted_state> accept_ticket(const fleet_state& before, const ticket& it,
                                      log_offset offset);

} // namespace banyanshunt
