#pragma once

/// \file
/// Defines plain operations on a connected TCP socket, each bounded in time and without signals.

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

/// Waits until there is something to read, be it the end of the connection.
bool wait_readable(int socket, milliseconds patience);
/// Waits until something can be written.
bool wait_writable(int socket, milliseconds patience);
/// Reads what is there, after at most `timeout`; 0 at the end, -1 on failure.
long read_some(int socket, char* to, std::size_t size, milliseconds patience);
/// Writes some of the text, after at most `timeout`; -1 on failure.
long write_some(int socket, std::string_view text, milliseconds patience);
/// Writes all of the text; returns false on failure.
bool write_all(int socket, std::string_view text, milliseconds patience);
/// Whether the other end has closed its side of the connection.
bool peer_closed(int socket);
/// Closes the connection after the other end has had `timeout` to read what was written last.
void graceful_close(int socket, milliseconds patience);

socket_endpoint remote_endpoint(int socket);
socket_endpoint local_endpoint(int socket);

} // namespace banyanshunt
