#pragma once

/// \file
/// A connection that sends calls to one address one after the other, each a complete request and a
/// complete response. It is opened on demand, and reopened after each failure, because a connection
/// can become unresponsive without an error.

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

struct call_response
{
    int status = 0;
    std::string body;
};

class http_connection
{
public:
    explicit http_connection(endpoint_text address) : address_(std::move(address)) {}

    /// Sends the call; returns nothing if no complete response arrived within the timeout, in which
    /// case the call may have run.
    task<std::optional<call_response>> call(std::string method, std::string target,
                                            std::string body, milliseconds timeout);
    /// Whether the last call was sent on a connection that earlier calls had opened.
    bool reused() const { return reused_; }
    /// Whether a connection is kept, which may have become unresponsive since the last call.
    bool is_open() const { return stream_ != nullptr; }
    /// Cancels the call in flight, which then returns nothing.
    void cancel();

private:
    task<std::optional<call_response>> exchange(std::string method, std::string target,
                                                std::string body, milliseconds timeout);

    endpoint_text address_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_{max_buffered_bytes};
    bool reused_ = false;
};

} // namespace banyanshunt
