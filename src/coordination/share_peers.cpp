#include "coordination/share_peers.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

// What `rate` yields in `length`; exact enough for a guess.
millitokens yield(millitokens_per_second rate, nanoseconds length)
{
    auto ms = std::chrono::duration_cast<milliseconds>(length);
    constexpr std::int64_t milliseconds_in_second = 1000;
    return millitokens(rate.count() * ms.count() / milliseconds_in_second);
}

} // namespace

void share_peer_state::begin_call(const share_call& call, instant now)
{
    busy_ = true;
    last_call_ = now;
    for (const auto& ask : call.requests)
    {
        asked_[ask.resource] += ask.amount;
    }
}

void share_peer_state::end_call(const share_response& reply, instant now)
{
    busy_ = false;
    failed_at_.reset();
    asked_.clear();
    record_incarnation(reply.from, reply.leaving);
    for (const auto& loan : reply.loans)
    {
        levels_[loan.resource] = {.left = loan.remaining, .at = now};
    }
}

void share_peer_state::fail_call(instant now)
{
    busy_ = false;
    failed_at_ = now;
    asked_.clear();
}

void share_peer_state::record_incarnation(const host_incarnation& life, bool leaving)
{
    if (life_ != life)
    {
        levels_.clear();
    }
    life_ = life;
    leaving_ = leaving;
}

millitokens share_peer_state::requested(const resource_id& resource) const
{
    auto it = asked_.find(resource);
    return it == asked_.end() ? millitokens(0) : it->second;
}

bool share_peer_state::may_request(const resource_id& resource, instant now) const
{
    if (busy_ || (failed_at_ && now - *failed_at_ < options_.failure_backoff))
    {
        return false;
    }
    auto it = levels_.find(resource);
    bool empty = it != levels_.end() && it->second.left == millitokens(0);
    return !empty || now - it->second.at >= options_.empty_backoff;
}

millitokens share_peer_state::estimate(const resource_id& resource, millitokens_per_second rate,
                                       millitokens depth, instant now) const
{
    auto it = levels_.find(resource);
    if (it == levels_.end())
    {
        return depth;
    }
    return std::min(depth, it->second.left + yield(rate, now - it->second.at));
}

} // namespace banyanshunt
