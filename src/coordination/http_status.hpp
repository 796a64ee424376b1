#pragma once

/// \file
/// The classes of status codes of HTTP responses, RFC 9110, section 15.

namespace banyanshunt
{

inline constexpr int switching_protocols_status = 101;

/// Whether a response with the status precedes the final response. A 101 does not: what follows it
/// is another protocol, for which no request asks.
constexpr bool is_interim_status(int status)
{
    return status >= 100 && status < 200 && status != switching_protocols_status;
}

/// Whether a response with the status can be the final one.
constexpr bool is_final_status(int status)
{
    return status >= 200 && status < 600;
}

} // namespace banyanshunt
