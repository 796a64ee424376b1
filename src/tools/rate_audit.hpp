#pragma once

/// \file
/// Audits refusals for the rate limit. A refusal was wrong, the request being within its
/// workspace's rate, if a single bucket for the entire fleet, charged with all granted tokens, held
/// enough tokens at that time.

#include <map>
#include <vector>

#include "coordination/token_bucket.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// One request to audit, from the caller's own records.
struct audited_request
{
    workspace_id workspace;
    /// When it was sent, on the caller's clock.
    instant at;
    /// Tokens that the request reserves, for prompt and completion together.
    millitokens requested;
    /// Tokens that it used; nullopt if it was refused for the rate limit.
    std::optional<millitokens> granted;
};

struct workspace_rate
{
    millitokens_per_second rate;
    millitokens burst;
};

struct rate_audit
{
    std::int64_t refused = 0;
    /// Refused although the single bucket held enough.
    std::int64_t refused_within_rate = 0;
    /// Granted although the single bucket held too little: the workspace got more than its share,
    /// unless the spread of network delays between callers and hosts explains it.
    std::int64_t granted_beyond_rate = 0;
};

/// Audits requests, given in any order; skips workspaces without a rate.
std::map<workspace_id, rate_audit>
audit_refusals(std::vector<audited_request> requests,
               const std::map<workspace_id, workspace_rate>& rates);

} // namespace banyanshunt
