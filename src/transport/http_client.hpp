#pragma once

/// \file
/// Defines the HTTP client that all adapters share. It sends each call at most once: no hidden
/// repeat on a dead connection, no redirect.

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
    /// The longest silence between two pieces of the answer.
    milliseconds read_timeout{10000};
    /// Whether the call goes out on a new connection, which is closed after it.
    bool dedicated_connection = false;
};

struct http_call_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    std::vector<http_field> headers = {};
};

/// Gets each piece of an answer's body; returns false to stop reading.
using body_sink = std::function<bool(std::string_view)>;

/// Sends calls, keeping idle connections open for the next call to the same address.
///
/// An idle connection is kept for a short time only. When a call on one address goes without an
/// answer, all idle connections to that address are closed: what silenced one may have silenced
/// the others.
class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends the call and returns the whole answer, whatever its status. A redirect is an answer
    /// too. Fails with `not_run` only if no connection was made.
    verdict<http_call_response> send(const http_call& call);

    /// Sends the call and passes a 200 answer's body to `sink` piece by piece; the returned answer
    /// has a body only with another status.
    verdict<http_call_response> stream(const http_call& call, const body_sink& sink);

private:
    struct pool;
    std::unique_ptr<pool> pool_;
};

} // namespace banyanshunt
