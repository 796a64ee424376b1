#pragma once

/// \file
/// The system's error codes. Each has one machine-readable reason, which callers, operators and
/// metrics see. docs/OPERATORS.md lists them.

#include <system_error>

namespace banyanshunt
{

/// The reasons for which the system refuses or fails a request, ticket or call.
enum class errc
{
    /// The request is malformed.
    bad_request = 1,
    /// The request has no bearer key, and its route needs one.
    key_missing,
    /// The key is unknown, wrong or withdrawn.
    key_refused,
    /// No route, model or adapter of this name is in the applied state.
    not_found,
    /// The workspace is above its rate and burst.
    over_rate,
    /// The bounded queue of waiting requests is full.
    queue_full,
    /// The request cannot be served, or was not served, within its deadline.
    deadline,
    /// No backend server can take the request.
    no_replica,
    /// The host is stopping and takes no new work.
    draining,
    /// The host has no state yet, or its state is older than the workspace allows.
    state_unavailable,
    /// The idempotency key was used before with another body.
    idempotency_mismatch,
    /// A claim that the request needs could not be acquired.
    claim_unavailable,
    /// An order with an older fencing number was refused.
    fenced,
    /// An order would overcommit a server's memory.
    memory_full,
    /// The address could not be reached.
    unreachable,
    /// A response was not received in time.
    timeout,
    /// A response violates the protocol.
    bad_answer,
    /// The log no longer keeps the requested records.
    records_expired,
    /// A rate limit of the platform was reached.
    platform_busy,
    /// The peer or server cannot do this in its current state.
    unavailable,
    /// The caller disconnected.
    cancelled,
    /// A ticket violates the format or refers to an object that does not exist.
    ticket_malformed,
    /// A ticket's number is lower than the last accepted one, or was used by another ticket.
    ticket_out_of_order,
    /// A call with this idempotency key is in flight, or its outcome is unknown.
    already_claimed,
    /// A call with this idempotency key ran, and its response was not kept.
    already_ran,
};

const std::error_category& banyanshunt_category();

/// Returns the reason's name, such as "over_rate".
const char* to_string(errc code);

inline std::error_code make_error_code(errc code)
{
    return {static_cast<int>(code), banyanshunt_category()};
}

} // namespace banyanshunt

template <>
struct std::is_error_code_enum<banyanshunt::errc> : std::true_type
{
};
