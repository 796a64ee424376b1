#pragma once

/// \file
/// Batches small records into few appends, because the log accepts a limited number of appends per
/// second from all hosts together. One periodic thread calls `step` repeatedly; any thread adds
/// records.

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <future>
#include <memory>
#include <mutex>

#include "coordination/log_service.hpp"
#include "coordination/token_bucket.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct log_batcher_options
{
    /// This host's share of the log's append rate.
    int appends_per_second = 30;
    /// The number of appends that may be made at once after an idle period.
    int burst = 10;
    std::size_t max_batch_size = 256;
    /// Records that may wait to be appended; further ones are refused.
    std::size_t max_pending = 4096;
    milliseconds pause_after_failure{200};
};

/// Appends records in batches of one stream each.
template <log_service Log>
class log_batcher
{
public:
    log_batcher(Log& log, const log_batcher_options& options)
        : log_(log), options_(options),
          budget_(millitokens_per_second(options.appends_per_second * millitokens_per_token),
                  tokens(options.burst), boot_clock().now())
    {
    }

    /// Appends the record once and waits for its offset. Fails as the log's append does; if no
    /// response came by `deadline`, fails with `not_run` if the record was not sent yet and with
    /// `may_have_run` if it was.
    verdict<log_offset> append(const stream_name& stream, const log_entry& entry, instant deadline)
    {
        auto it = std::make_shared<pending>(stream, entry, false);
        auto response = it->response.get_future();
        if (!add(it))
        {
            return refusal("too many records are waiting to be appended");
        }
        auto remaining = std::max(deadline - boot_clock().now(), nanoseconds(0));
        if (response.wait_for(remaining) == std::future_status::ready)
        {
            return response.get();
        }
        std::lock_guard lock(mutex_);
        bool unsent = std::erase(waiting_, it) > 0;
        if (unsent)
        {
            return refusal("the record was not sent to the log before the deadline");
        }
        return failure{.run = run_state::may_have_run,
                       .code = errc::timeout,
                       .detail = "the log did not respond in time",
                       .retry_after = {}};
    }

    /// Adds a record whose append is retried until it succeeds, so the log may hold it more than
    /// once. Returns false when too many records are waiting.
    bool enqueue(const stream_name& stream, const log_entry& entry)
    {
        return add(std::make_shared<pending>(stream, entry, true));
    }

    /// Appends one batch if records are waiting and the budget allows; otherwise waits briefly.
    /// Returns the pause before the next step.
    milliseconds step()
    {
        constexpr milliseconds recheck_interval(50);
        {
            std::unique_lock lock(mutex_);
            added_.wait_for(lock, recheck_interval, [this] { return !waiting_.empty(); });
            if (waiting_.empty())
            {
                return milliseconds(0);
            }
            instant now = boot_clock().now();
            if (!budget_.acquire(tokens(1), now))
            {
                return std::clamp(budget_.time_until(tokens(1), now).value_or(recheck_interval),
                                  milliseconds(1), recheck_interval);
            }
        }
        return send(pop_batch()) ? milliseconds(0) : options_.pause_after_failure;
    }

    std::size_t waiting() const
    {
        std::lock_guard lock(mutex_);
        return waiting_.size();
    }

private:
    struct pending
    {
        pending(stream_name to, log_entry it, bool retry)
            : stream(std::move(to)), entry(std::move(it)), retry_on_failure(retry)
        {
        }

        stream_name stream;
        log_entry entry;
        bool retry_on_failure;
        std::promise<verdict<log_offset>> response;
    };
    using batch = std::vector<std::shared_ptr<pending>>;

    static failure refusal(const char* detail)
    {
        return {.run = run_state::not_run,
                .code = errc::platform_busy,
                .detail = detail,
                .retry_after = {}};
    }

    bool add(const std::shared_ptr<pending>& it)
    {
        {
            std::lock_guard lock(mutex_);
            if (waiting_.size() >= options_.max_pending)
            {
                return false;
            }
            waiting_.push_back(it);
        }
        added_.notify_one();
        return true;
    }

    // Removes the oldest waiting record and others of its stream, in order, up to the batch size.
    batch pop_batch()
    {
        std::lock_guard lock(mutex_);
        batch popped;
        if (waiting_.empty())
        {
            return popped;
        }
        stream_name stream = waiting_.front()->stream;
        std::erase_if(waiting_,
                      [&](const std::shared_ptr<pending>& it)
                      {
                          bool fits =
                              it->stream == stream && popped.size() < options_.max_batch_size;
                          if (fits)
                          {
                              popped.push_back(it);
                          }
                          return fits;
                      });
        return popped;
    }

    bool send(const batch& popped)
    {
        if (popped.empty())
        {
            return true;
        }
        std::vector<log_entry> entries;
        for (const auto& it : popped)
        {
            entries.push_back(it->entry);
        }
        auto first = log_.append(popped.front()->stream, entries);
        for (std::size_t i = 0; i < popped.size(); ++i)
        {
            if (first)
            {
                popped[i]->response.set_value(*first + log_offset(static_cast<std::int64_t>(i)));
                continue;
            }
            if (!popped[i]->retry_on_failure)
            {
                popped[i]->response.set_value(first.error());
                continue;
            }
            std::lock_guard lock(mutex_);
            waiting_.push_back(popped[i]);
        }
        return first.has_value();
    }

    Log& log_;
    log_batcher_options options_;
    mutable std::mutex mutex_;
    std::condition_variable added_;
    std::deque<std::shared_ptr<pending>> waiting_;
    token_bucket budget_;
};

} // namespace banyanshunt
