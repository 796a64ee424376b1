#pragma once

/// \file
/// Operations on a connected TCP socket, each bounded in time and without SIGPIPE.

#include <string>
#include <string_view>

#include "state/units.hpp"

namespace banyanshunt
{

/// The address of one end of a connection.
struct socket_endpoint
{
    std::string ip;
    int port = 0;
};

/// Waits until the socket is readable, which includes the end of the stream.
bool wait_readable(int socket, milliseconds timeout);
/// Waits until the socket is writable.
bool wait_writable(int socket, milliseconds timeout);
/// Reads the available bytes, waiting at most `timeout`; returns 0 at the end of the stream, -1 on
/// failure.
long read_some(int socket, char* to, std::size_t size, milliseconds timeout);
/// Writes some of the text, waiting at most `timeout`; returns -1 on failure.
long write_some(int socket, std::string_view text, milliseconds timeout);
/// Writes all of the text; returns false on failure.
bool write_all(int socket, std::string_view text, milliseconds timeout);
/// Whether the other end has closed its side of the connection.
bool peer_closed(int socket);
/// Closes the connection after the other end has had `timeout` to read the last bytes written.
void graceful_close(int socket, milliseconds timeout);

socket_endpoint remote_endpoint(int socket);
socket_endpoint local_endpoint(int socket);

} // namespace banyanshunt
