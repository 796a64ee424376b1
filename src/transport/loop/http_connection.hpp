#pragma once

/// \file
/// Defines a link over which calls go to one address one after the other, each a whole request and
/// a whole answer. It is opened when needed, and anew after each failure, because a connection can
/// go silent without an error.

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

    /// Sends the call; nothing if no whole answer came in time, in which case the call may have
    /// been carried out.
    task<std::optional<call_response>> call(std::string method, std::string target,
                                            std::string body, milliseconds timeout);
    /// Ends a call under way, which then answers nothing.
    void cancel();

private:
    endpoint_text address_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace banyanshunt
