#pragma once

/// \file
/// A caller's connection: writes to it and detects that the caller closed it.

#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "state/clock.hpp"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    explicit caller_connection(tcp::socket socket) : stream(std::move(socket))
    {
        set_socket_options(stream.socket(), caller_unacknowledged);
    }

    /// Calls `on_close` once if the caller closes its connection before `unwatch`.
    void watch(std::function<void()> on_close);
    void unwatch();
    /// Writes all bytes; false if the connection is lost.
    task<bool> write(std::string_view bytes);
    /// Closes the connection so that an unfinished response does not look complete.
    void abort();

    /// Drops what the caller still sends behind a refused request, until it ends its side or the
    /// time has passed, so that a reset does not overtake the refusal.
    task<void> drain(milliseconds max_time);

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool closed = false;
    const instant opened_at = boot_clock().now();
    /// The requests read from it, including the one in progress.
    int requests = 0;

private:
    void wait_for_close();

    std::function<void()> on_close_;
    std::uint64_t watch_generation_ = 0;
};

} // namespace banyanshunt
