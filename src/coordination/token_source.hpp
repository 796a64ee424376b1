#pragma once

/// \file
/// Defines what admission needs of the owner of a workspace's share of rate and burst on this host.

#include <concepts>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Tokens set aside for one request, until it is settled.
struct reservation
{
    workspace_id workspace;
    millitokens amount;
};

/// Reserves a request's largest cost and takes back what it did not use.
///
/// `reserve` never waits; it fails with `errc::over_rate`, and says when enough may be there.
/// `settle` is called once for each reservation, with at most the reserved amount.
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
