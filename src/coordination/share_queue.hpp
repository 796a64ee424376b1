#pragma once

/// \file
/// Defines the requests that wait for tokens of one resource, because they are served in order and
/// a refusal is told as soon as it is sure.

#include <deque>

#include "coordination/share_messages.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// One request that waits.
struct share_waiter
{
    share_number id;
    millitokens amount;
    instant since;
    instant deadline;
};

/// What became of a request that waited.
struct share_outcome
{
    share_number id;
    bool granted = false;
};

/// First in, first out.
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
    /// The sum of all that is waited for.
    millitokens total() const { return total_; }

    void pop()
    {
        total_ -= waiting_.front().amount;
        waiting_.pop_front();
    }

    /// Takes out the requests whose deadline has passed.
    std::vector<share_waiter> extract_expired(instant now)
    {
        std::vector<share_waiter> late;
        for (const auto& it : waiting_)
        {
            if (now >= it.deadline)
            {
                late.push_back(it);
                total_ -= it.amount;
            }
        }
        std::erase_if(waiting_, [now](const auto& it) { return now >= it.deadline; });
        return late;
    }

    /// Takes out one request, as its caller left.
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
