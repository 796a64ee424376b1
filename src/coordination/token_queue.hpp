#pragma once

/// \file
/// Defines the line in which requests that are short of tokens wait for them, because a request
/// whose tokens come within its deadline must not be refused. Each workspace has a line of its own,
/// first come, first served.

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
    /// Asked several times a second; a failure ends the wait with it.
    std::function<std::optional<failure>()> stop_waiting = {};
};

/// Thread-safe. A workspace may have at most `longest` requests in line, all together `most`.
class token_queue
{
public:
    token_queue(std::size_t longest, std::size_t most) : longest_(longest), most_(most) {}

    /// Reserves the tokens, waiting for them in line if their source says that they come in time.
    /// Fails with `errc::over_rate`, with the source's other failures, or as `stop_waiting` says.
    verdict<reservation> reserve(const any_token_source& source, const token_waiter& wait);

private:
    struct line
    {
        std::deque<std::uint64_t> numbers;
        std::condition_variable moved;
    };

    std::optional<verdict<reservation>> try_at_head(const any_token_source& source,
                                                    const token_waiter& wait, instant now,
                                                    milliseconds& pause) const;

    std::size_t longest_;
    std::size_t most_;
    std::mutex mutex_;
    std::map<workspace_id, line> lines_;
    std::size_t waiting_ = 0;
    std::uint64_t next_number_ = 0;
};

} // namespace banyanshunt
