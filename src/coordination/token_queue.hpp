#pragma once

/// \file
/// The queue of requests that wait for tokens. A request whose tokens become available before its
/// deadline must not be refused. Each workspace has its own queue, first in, first out.

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "coordination/any_token_source.hpp"

namespace banyanshunt
{

/// A request that needs tokens.
struct token_waiter
{
    workspace_id workspace;
    millitokens amount;
    instant deadline;
    /// Called several times a second; if it returns a failure, the wait ends with that failure.
    std::function<std::optional<failure>()> stop_waiting = {};
};

/// Thread-safe. At most `max_per_workspace` requests of a workspace wait, and `max_total` in all.
class token_queue
{
public:
    token_queue(std::size_t max_per_workspace, std::size_t max_total)
        : max_per_workspace_(max_per_workspace), max_total_(max_total)
    {
    }

    /// Reserves the tokens; waits in the queue if the source expects them before the deadline.
    /// Fails with `errc::over_rate`, with another failure of the source, or with that of
    /// `stop_waiting`.
    verdict<reservation> reserve(const any_token_source& source, const token_waiter& waiter);

private:
    struct workspace_queue
    {
        std::deque<std::uint64_t> request_numbers;
        std::condition_variable changed;
    };

    std::optional<verdict<reservation>> try_at_head(const any_token_source& source,
                                                    const token_waiter& waiter, instant now,
                                                    milliseconds& wait_time) const;

    std::size_t max_per_workspace_;
    std::size_t max_total_;
    std::mutex mutex_;
    std::map<workspace_id, workspace_queue> queues_;
    std::size_t waiting_ = 0;
    std::uint64_t next_number_ = 0;
};

} // namespace banyanshunt
