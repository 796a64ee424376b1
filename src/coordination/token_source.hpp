#pragma once

/// \file
/// The interface through which admission reserves tokens of a workspace's rate and burst.

#include <concepts>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Tokens reserved for one request until `settle`.
struct reservation
{
    workspace_id workspace;
    millitokens amount;
};

/// Reserves a request's maximum cost, and takes back the tokens that the request did not use.
///
/// `reserve` never waits. If tokens are short it fails with `errc::over_rate`, and its
/// `retry_after` estimates when enough are available. `settle` is called once for each reservation,
/// with at most the reserved amount.
template <class T>
concept token_source = requires(T& source, const workspace_id& workspace, millitokens amount,
                                const reservation& held, instant now)
{
    {
        source.reserve(workspace, amount, now)
        } -> std::same_as<verdict<reservation>>;
    {
        source.settle(held, amount, now)
        } -> std::same_as<void>;
};

} // namespace banyanshunt
