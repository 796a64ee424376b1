#pragma once

/// \file
/// Defines the system's error codes. Each has one machine-readable reason that callers, operators
/// and metrics see, listed in docs/OPERATORS.md.

#include <system_error>

namespace banyanshunt
{

/// Every way in which the system refuses or fails a request, ticket or call.
enum class errc
{
    /// The request is malformed.
    bad_request = 1,
    /// No bearer key came with a request to a route that needs one.
    key_missing,
    /// The key is unknown, wrong or withdrawn.
    key_refused,
    /// No route, model or adapter of this name is in force.
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
    /// The host has no state yet, or its state is staler than the workspace allows.
    state_unavailable,
    /// The same idempotency key came with another body.
    idempotency_mismatch,
    /// A claim that the request needs could not be made.
    claim_unavailable,
    /// An order with an older fencing number was refused.
    fenced,
    /// An order would overcommit a server's memory.
    memory_full,
    /// Nothing answered at the address.
    unreachable,
    /// An answer did not come in time.
    timeout,
    /// An answer broke the protocol.
    bad_answer,
    /// The log no longer keeps the records that were asked for.
    records_expired,
    /// A bounded rate of the platform was reached.
    platform_busy,
    /// The other side is not in a state to do this.
    unavailable,
    /// The caller went away.
    cancelled,
    /// A ticket breaks the format or refers to what does not exist.
    ticket_malformed,
    /// A ticket's number was passed or taken by another.
    ticket_out_of_order,
    /// A call with this idempotency key is under way, or its outcome is unknown.
    already_claimed,
    /// A call with this idempotency key ran, and its answer is not kept.
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
