#pragma once

/// \file
/// Types and helpers of the event loop on which an entry host's request path runs. One thread runs
/// the loop, so the objects it owns need no locks.

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "state/backend_entry.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// What a coroutine of the loop returns.
template <class Value>
using task = asio::awaitable<Value>;

/// A completion token that returns a tuple starting with the error code instead of throwing.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// The bytes of a connection that are buffered until they make up a line or a head. Longer than any
/// accepted head, trailer or chunk extension.
inline constexpr std::size_t max_buffered_bytes = 131072;

/// Waits; a cancelled wait ends early.
task<void> pause(nanoseconds length);

/// The TCP endpoint that a string like "10.1.0.2:8080" names; port 0 if it names none.
tcp::endpoint to_endpoint(const endpoint_text& text);

/// Whether nothing was received on the connection since the last read, neither bytes nor its end.
bool is_quiet(tcp::socket& socket);

/// Whether connections to the address are refused, as no process listens there. Opens one and
/// closes it at once; false if none is opened or refused before the timeout.
task<bool> refuses_connections(endpoint_text address, milliseconds timeout);

/// How long sent bytes may stay unacknowledged before a connection to a server or to the log counts
/// as dead. An unresponsive peer delays a request by this long at most; it exceeds the
/// retransmissions of a lossy link.
inline constexpr milliseconds peer_unacknowledged{3000};
/// The same for a caller, which may read slowly: a window that stays closed counts as well. As long
/// as a caller's connection may usually be idle.
inline constexpr milliseconds caller_unacknowledged{15000};

/// Sets the options that each connection of an entry host has: no delay, and a limit on
/// unacknowledged data that detects an unresponsive peer.
void set_socket_options(tcp::socket& socket, milliseconds unacknowledged = peer_unacknowledged);

} // namespace banyanshunt
