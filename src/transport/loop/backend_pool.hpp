#pragma once

/// \file
/// A pool of connections to backend servers. Connections are kept for reuse, because each new one
/// counts against the server's limit of connections; one is reused only if nothing was received on
/// it while it was idle.

#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "coordination/response_proof.hpp"
#include "state/clock.hpp"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

/// A connection to a backend server, with the bytes read beyond the last response.
struct backend_connection
{
    explicit backend_connection(const asio::any_io_executor& executor) : stream(executor) {}

    boost::beast::tcp_stream stream;
    /// Limited, because a server may send a line without end.
    boost::beast::flat_buffer buffer{max_buffered_bytes};
    endpoint_text address;
    /// Carried a request before; the server may have closed it since.
    bool reused = false;
    connection_history history;
    instant idle_since;
    /// How long the connection may stay idle and still be reused.
    milliseconds idle_limit{0};
};
using backend_connection_ptr = std::unique_ptr<backend_connection>;

struct backend_pool_options
{
    /// The timeout for a new connection. A server in another failure domain answers within
    /// milliseconds; a lost SYN is retransmitted after a second.
    milliseconds connect_timeout{500};
    /// The longest that a connection stays idle, if its server names no limit.
    milliseconds idle_limit{4000};
    /// Idle connections kept for one server.
    std::size_t max_idle = 16;
};

class backend_pool
{
public:
    explicit backend_pool(const backend_pool_options& options) : options_(options) {}

    /// A connection to the address, new or kept, that may carry the request with the id, or a call
    /// if it is empty; null if none can be made.
    task<backend_connection_ptr> acquire(endpoint_text address, request_id id);
    /// Keeps the connection for reuse, unless its history is full. Precondition: its last response
    /// was read completely.
    void release(backend_connection_ptr connection, std::optional<milliseconds> keep_alive);
    /// Closes idle connections to an address, because another server may have the address now.
    void close_idle(const endpoint_text& address);
    /// Closes connections that were idle for too long.
    void prune(instant now);
    std::size_t idle_count(const endpoint_text& address) const;
    std::uint64_t opened() const { return opened_; }

private:
    bool usable(backend_connection& it, instant now) const;
    /// Takes out the connection that was used last of those that may carry the request.
    backend_connection_ptr take_kept(const endpoint_text& address, const request_id& id);

    backend_pool_options options_;
    std::map<endpoint_text, std::vector<backend_connection_ptr>> idle_;
    std::uint64_t opened_ = 0;
};

} // namespace banyanshunt
