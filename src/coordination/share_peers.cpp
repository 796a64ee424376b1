#include "coordination/share_peers.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

// The amount that refills in `duration`, rounded to the refill of complete milliseconds.
millitokens refill_amount(millitokens_per_second rate, nanoseconds duration)
{
    auto ms = std::chrono::duration_cast<milliseconds>(duration);
    constexpr std::int64_t milliseconds_in_second = 1000;
    return millitokens(rate.count() * ms.count() / milliseconds_in_second);
}

} // namespace

void share_peer_state::begin_call(const share_call& call, instant now)
{
    busy_ = true;
    last_call_ = now;
    for (const auto& request : call.requests)
    {
        requested_[request.resource] += request.amount;
    }
}

void share_peer_state::end_call(const share_response& response, instant now)
{
    busy_ = false;
    failed_at_.reset();
    requested_.clear();
    record_incarnation(response.from, response.leaving);
    for (const auto& loan : response.loans)
    {
        reported_levels_[loan.resource] = {.left = loan.remaining, .at = now};
    }
}

void share_peer_state::fail_call(instant now)
{
    busy_ = false;
    failed_at_ = now;
    requested_.clear();
}

void share_peer_state::record_incarnation(const host_incarnation& peer, bool leaving)
{
    if (incarnation_ != peer)
    {
        reported_levels_.clear();
    }
    incarnation_ = peer;
    leaving_ = leaving;
}

millitokens share_peer_state::requested(const resource_id& resource) const
{
    auto it = requested_.find(resource);
    return it == requested_.end() ? millitokens(0) : it->second;
}

bool share_peer_state::may_request(const resource_id& resource, instant now) const
{
    if (busy_ || (failed_at_ && now - *failed_at_ < options_.failure_backoff))
    {
        return false;
    }
    auto it = reported_levels_.find(resource);
    bool empty = it != reported_levels_.end() && it->second.left == millitokens(0);
    return !empty || now - it->second.at >= options_.empty_backoff;
}

millitokens share_peer_state::estimate(const resource_id& resource, millitokens_per_second rate,
                                       millitokens depth, instant now) const
{
    auto it = reported_levels_.find(resource);
    if (it == reported_levels_.end())
    {
        return depth;
    }
    return std::min(depth, it->second.left + refill_amount(rate, now - it->second.at));
}

} // namespace banyanshunt
