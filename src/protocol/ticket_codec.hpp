#pragma once

/// \file
/// Defines the written form of tickets: JSON, format 1, described in docs/TICKETS.md.

#include <string>

#include "coordination/ticket.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The largest ticket that is read, in bytes.
inline constexpr std::size_t ticket_size_limit = 4 * 1024 * 1024;

/// Reads a ticket as a whole; fails with `errc::ticket_malformed` and a sentence that names the
/// first wrong field and what is allowed there.
verdict<ticket> decode_ticket(const std::string& text);

/// Writes a ticket so that `decode_ticket` reads the same one.
std::string encode_ticket(const ticket& it);

} // namespace banyanshunt
