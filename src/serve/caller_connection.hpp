#pragma once

/// \file
/// Defines a caller's connection: writing to it, and noticing that the caller left.

#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    explicit caller_connection(tcp::socket socket) : stream(std::move(socket))
    {
        set_socket_options(stream.socket());
    }

    /// Calls `on_gone` once if the caller closes its connection before `unwatch`.
    void watch(std::function<void()> on_gone);
    void unwatch();
    /// Writes all of it; false if the connection is lost.
    task<bool> write(std::string_view bytes);
    /// Ends the connection so that an unfinished answer does not look complete.
    void abort();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool closed = false;

private:
    void look();

    std::function<void()> on_gone_;
    std::uint64_t watch_number_ = 0;
};

} // namespace banyanshunt
