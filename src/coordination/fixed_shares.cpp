#include "coordination/fixed_shares.hpp"

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{

token_bucket* fixed_shares::bucket_of(const workspace_id& workspace, instant now)
{
    auto state = state_.get();
    const workspace_object* object = find_object(state->workspaces, workspace);
    if (!object)
    {
        buckets_.erase(workspace);
        return nullptr;
    }
    millitokens_per_second rate(object->rate.count() / host_count_);
    millitokens depth(object->burst.count() / host_count_);
    auto [it, inserted] = buckets_.try_emplace(workspace, rate, depth, now);
    if (it->second.rate() != rate || it->second.depth() != depth)
    {
        it->second.reconfigure(rate, depth, now);
    }
    return &it->second;
}

verdict<reservation> fixed_shares::reserve(const workspace_id& workspace, millitokens amount,
                                           instant now)
{
    std::lock_guard lock(mutex_);
    token_bucket* bucket = bucket_of(workspace, now);
    if (!bucket)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::key_refused,
                       .detail = "the workspace was withdrawn",
                       .retry_after = {}};
    }
    if (bucket->acquire(amount, now))
    {
        return reservation{.workspace = workspace, .amount = amount};
    }
    return failure{.run = run_state::not_run,
                   .code = errc::over_rate,
                   .detail =
                       fmt::format("workspace {} is above its rate and burst", workspace.str()),
                   .retry_after = bucket->time_until(amount, now)};
}

void fixed_shares::settle(const reservation& held, millitokens used, instant now)
{
    check_invariant(used <= held.amount, "more was used than reserved");
    std::lock_guard lock(mutex_);
    if (token_bucket* bucket = bucket_of(held.workspace, now))
    {
        bucket->release(held.amount - used, now);
    }
}

} // namespace banyanshunt
