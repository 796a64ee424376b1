#pragma once

/// \file
/// The interface to a plain service, which runs beside the engines.

#include <concepts>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// A header field that is forwarded to a service or from one.
struct http_field
{
    std::string name;
    std::string value;
};

/// One call; the client sends it at most once.
struct service_call
{
    request_id id;
    /// "GET", "POST", "PUT" or "DELETE".
    std::string method;
    std::string path;
    std::vector<http_field> headers;
    std::string body;
};

/// The service's response, whatever its status.
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
                                 const service_call& request, milliseconds limit)
{
    {
        service.call(address, request, limit)
        } -> std::same_as<verdict<service_response>>;
};

} // namespace banyanshunt
