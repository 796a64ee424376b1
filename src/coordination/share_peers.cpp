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

void share_peer_view::begin_call(const share_call& call, instant now)
{
    busy_ = true;
    last_call_ = now;
    for (const auto& ask : call.asks)
    {
        asked_[ask.resource] += ask.amount;
    }
}

void share_peer_view::end_call(const share_reply& reply, instant now)
{
    busy_ = false;
    failed_at_.reset();
    asked_.clear();
    note_life(reply.from, reply.leaving);
    for (const auto& loan : reply.loans)
    {
        levels_[loan.resource] = {.left = loan.left, .at = now};
    }
}

void share_peer_view::fail_call(instant now)
{
    busy_ = false;
    failed_at_ = now;
    asked_.clear();
}

void share_peer_view::note_life(const share_life& life, bool leaving)
{
    if (life_ != life)
    {
        levels_.clear();
    }
    life_ = life;
    leaving_ = leaving;
}

millitokens share_peer_view::asked(const resource_id& resource) const
{
    auto it = asked_.find(resource);
    return it == asked_.end() ? millitokens(0) : it->second;
}

bool share_peer_view::may_ask(const resource_id& resource, instant now) const
{
    if (busy_ || (failed_at_ && now - *failed_at_ < options_.failure_pause))
    {
        return false;
    }
    auto it = levels_.find(resource);
    bool empty = it != levels_.end() && it->second.left == millitokens(0);
    return !empty || now - it->second.at >= options_.empty_pause;
}

millitokens share_peer_view::guess(const resource_id& resource, millitokens_per_second rate,
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
