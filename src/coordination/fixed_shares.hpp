#pragma once

/// \file
/// Fixed equal shares: each host owns the same fraction of every workspace's rate and burst,
/// whatever its demand. This never exceeds the limits but wastes unused shares, and is the baseline
/// for better sources.

#include <map>
#include <mutex>

#include "coordination/token_bucket.hpp"
#include "coordination/token_source.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// A token source that owns 1 / `host_count` of each workspace's rate and burst.
class fixed_shares
{
public:
    fixed_shares(const state_cell& state, int host_count) : state_(state), host_count_(host_count)
    {
    }

    verdict<reservation> reserve(const workspace_id& workspace, millitokens amount, instant now);
    void settle(const reservation& held, millitokens used, instant now);

private:
    token_bucket* bucket_of(const workspace_id& workspace, instant now);

    const state_cell& state_;
    int host_count_;
    std::mutex mutex_;
    std::map<workspace_id, token_bucket> buckets_;
};

static_assert(token_source<fixed_shares>);

} // namespace banyanshunt
