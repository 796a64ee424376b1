#pragma once

/// \file
/// Defines the judge of refusals: a request was refused although it was inside its workspace's rate
/// if one bucket for the whole fleet, charged with all that was granted, held enough at its time.

#include <map>
#include <vector>

#include "coordination/token_bucket.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// One request to judge, by the caller's own records.
struct audited_request
{
    workspace_id workspace;
    /// When it was sent, on the caller's clock.
    instant at;
    /// What it asked to reserve, prompt and answer together.
    millitokens requested;
    /// What it used; nothing when it was refused for the rate.
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
    /// or less than the spread of network delays between callers and hosts explains it.
    std::int64_t granted_beyond_rate = 0;
};

/// Judges requests in any order; those of workspaces without a rate are not judged.
std::map<workspace_id, rate_audit>
audit_refusals(std::vector<audited_request> requests,
               const std::map<workspace_id, workspace_rate>& rates);

} // namespace banyanshunt
