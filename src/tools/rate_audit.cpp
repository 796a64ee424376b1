#include "tools/rate_audit.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

void audit(const audited_request& it, token_bucket& bucket, rate_audit& out)
{
    if (!it.granted)
    {
        ++out.refused;
        out.refused_within_rate += bucket.level(it.at) >= it.requested ? 1 : 0;
        return;
    }
    if (!bucket.acquire(*it.granted, it.at))
    {
        ++out.granted_beyond_rate;
        bucket.acquire(bucket.level(it.at), it.at);
    }
}

} // namespace

std::map<workspace_id, rate_audit>
audit_refusals(std::vector<audited_request> requests,
               const std::map<workspace_id, workspace_rate>& rates)
{
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
    std::map<workspace_id, token_bucket> buckets;
    std::map<workspace_id, rate_audit> out;
    for (const auto& it : requests)
    {
        auto rate = rates.find(it.workspace);
        if (rate == rates.end())
        {
            continue;
        }
        auto [bucket, added] =
            buckets.try_emplace(it.workspace, rate->second.rate, rate->second.burst, it.at);
        audit(it, bucket->second, out[it.workspace]);
    }
    return out;
}

} // namespace banyanshunt
