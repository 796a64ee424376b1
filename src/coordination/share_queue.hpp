#pragma once

/// \file
/// The queue of requests that wait for tokens of one resource. Requests are served in order, and
/// refused as soon as their deadline has passed.

#include <deque>

#include "coordination/share_messages.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// One waiting request.
struct share_waiter
{
    share_number id;
    millitokens amount;
    instant since;
    instant deadline;
};

/// The outcome of a waiting request.
struct share_outcome
{
    share_number id;
    bool granted = false;
};

/// A first-in, first-out queue of waiting requests.
class share_queue
{
public:
    void push(const share_waiter& it)
    {
        waiting_.push_back(it);
        total_ += it.amount;
    }

    bool empty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }
    const share_waiter& front() const { return waiting_.front(); }
    /// The sum of the amounts of all waiting requests.
    millitokens total() const { return total_; }

    void pop()
    {
        total_ -= waiting_.front().amount;
        waiting_.pop_front();
    }

    /// Removes and returns the requests whose deadline has passed.
    std::vector<share_waiter> extract_expired(instant now)
    {
        std::vector<share_waiter> expired;
        for (const auto& it : waiting_)
        {
            if (now >= it.deadline)
            {
                expired.push_back(it);
                total_ -= it.amount;
            }
        }
        std::erase_if(waiting_, [now](const auto& it) { return now >= it.deadline; });
        return expired;
    }

    /// Removes one request, because its caller disconnected.
    void remove(share_number id)
    {
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            if (it->id == id)
            {
                total_ -= it->amount;
                waiting_.erase(it);
                return;
            }
        }
    }

private:
    std::deque<share_waiter> waiting_;
    millitokens total_;
};

} // namespace banyanshunt
