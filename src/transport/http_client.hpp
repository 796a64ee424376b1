#pragma once

/// \file
/// The HTTP client that all clients of backends and of the platform share. It sends each call at
/// most once: it neither resends on a dead connection nor follows redirects.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/plain_service.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// One HTTP request to an IP address and port.
struct http_call
{
    std::string address;
    std::string method;
    std::string path;
    std::vector<http_field> headers;
    std::string body;
    std::string content_type = "application/json";
    milliseconds connect_timeout{1000};
    /// The longest time between two chunks of the response.
    milliseconds read_timeout{10000};
    /// Whether the call may use a connection that carried earlier calls, and leaves it open for the
    /// next one. A response shows by nothing else than its order whose it is, so that the copy of
    /// an earlier one would be taken for this call's: only for servers of this project.
    bool keeps_connection = false;
};

struct http_call_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    std::vector<http_field> headers = {};
};

/// Receives each chunk of a response body; returns false to stop reading.
using body_sink = std::function<bool(std::string_view)>;

/// Sends calls, each on a new connection unless it states otherwise.
///
/// Made for servers that write the response to an earlier call once more: on a new connection, the
/// first response can only be that to the call.
///
/// Idle connections are kept for a short time only. When a call that may use one gets no response,
/// all idle connections to its address are closed, because the same fault may affect the others.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends the call and returns the complete response, whatever its final status, redirects
    /// included. One that exceeds a limit of docs/CALLER-LIMITS.md fails with `errc::bad_answer`.
    /// Fails with `not_run` only if no connection was established.
    verdict<http_call_response> send(const http_call& call);

    /// Sends the call and passes the body of a 200 response to `sink` chunk by chunk. The returned
    /// response has a body only with another status.
    verdict<http_call_response> stream(const http_call& call, const body_sink& sink);

private:
    struct pool;
    std::unique_ptr<pool> pool_;
};

} // namespace banyanshunt
