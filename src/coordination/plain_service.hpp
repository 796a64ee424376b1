#pragma once

/// \file
/// Defines what the system needs of a plain service that stands beside the engines.

#include <concepts>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// A header that may go through to a service, or come back from one.
struct http_field
{
    std::string name;
    std::string value;
};

/// One call, sent at most once by the client that takes it.
struct service_call
{
    request_id id;
    /// "GET", "POST", "PUT" or "DELETE".
    std::string method;
    std::string path;
    std::vector<http_field> headers;
    std::string body;
    /// A call that may not run twice is sent on a connection of its own: on one that was kept, a
    /// loss before the service read anything cannot be told from one after it.
    bool repeatable = false;
};

/// The service's own answer, whatever its status.
struct service_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    std::vector<http_field> headers = {};
};

/// A client of plain services, by address (IP and port).
template <class T>
concept plain_service = requires(T& service, const std::string& address,
                                 const service_call& send_request, milliseconds limit)
{
    {
        service.call(address, send_request, limit)
        } -> std::same_as<verdict<service_response>>;
};

} // namespace banyanshunt
