#pragma once

/// \file
/// The HTTP server that daemons and stand-ins share. Handlers run on a bounded pool of threads, one
/// for each connection; a connection that gets no thread within the queue timeout is refused with
/// 503.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/plain_service.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// A request as passed to a handler. Header names are lower case.
struct http_request
{
    std::string method;
    std::string path;
    /// The path with its query, as received.
    std::string target;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the caller has closed its connection. Valid until the response is written.
    std::function<bool()> caller_disconnected = {};

    /// The header's value, or an empty string.
    std::string header(const std::string& name) const;
    /// The value of a query parameter, or `otherwise`.
    std::string parameter(const std::string& name, const std::string& otherwise) const;
};

/// Writes one chunk of a streamed body; returns false once the caller has disconnected.
using chunk_writer = std::function<bool(std::string_view)>;

/// A handler's response.
struct http_response
{
    int status = 200;
    std::string content_type = "application/json";
    std::vector<http_field> headers;
    std::string body;
    /// When set, called once to write the body in place of `body`.
    std::function<void(const chunk_writer&)> stream;
    /// Close the connection before the response is complete; stand-ins simulate lost responses so.
    bool abort_connection = false;
};

using http_handler = std::function<http_response(const http_request&)>;

struct http_server_options
{
    /// IP address and port; port 0 selects a free one.
    std::string address = "127.0.0.1:0";
    std::size_t threads = 64;
    std::size_t max_body_size = 8 * 1024 * 1024;
    /// How long an idle connection is kept; a stop may wait this long for it.
    seconds idle_timeout{1};
    /// How long a new connection waits for a thread before it is refused with 503.
    milliseconds queue_timeout{250};
    /// The body of that 503 response.
    std::string overload_body = "{}";
    std::string overload_content_type = "application/json";
};

/// Listens from construction; serves from `start` to `stop`.
class http_server
{
public:
    explicit http_server(const http_server_options& options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Registers a handler for "GET", "POST", "PUT" or "DELETE" and a regular expression over the
    /// full path. The first registered match wins.
    void handle(const std::string& method, const std::string& pattern, http_handler handler);

    void start();
    /// Makes each further response ask the caller to close its connection.
    void drain();
    /// Accepts no new connections, answers the requests received on open ones, and returns once
    /// all handlers have ended.
    void stop();

    /// IP address and the port in use, or empty if the address could not be bound.
    const std::string& address() const { return address_; }

private:
    struct impl;
    std::unique_ptr<impl> impl_;
    std::string address_;
};

} // namespace banyanshunt
