#pragma once

/// \file
/// The encoding of tickets: JSON, format 1, described in docs/TICKETS.md.

#include <string>

#include "coordination/ticket.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The largest ticket that is accepted, in bytes.
inline constexpr std::size_t ticket_size_limit = 4 * 1024 * 1024;

/// Decodes a ticket; fails with `errc::ticket_malformed` and a message that names the first invalid
/// field and what is allowed there.
verdict<ticket> decode_ticket(const std::string& text);

/// Encodes a ticket so that `decode_ticket` decodes the same one.
std::string encode_ticket(const ticket& it);

} // namespace banyanshunt
