#pragma once

/// \file
/// Defines the batching of small records into few appends, because the log takes a limited number
/// of appends a second for all hosts together. One duty calls `kind` again and again; any thread
/// adds records.

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
    /// This host's part of the log's appends.
    int appends_per_second = 30;
    /// Appends that may be made at once after a quiet time.
    int burst = 10;
    std::size_t max_batch_size = 256;
    /// Records that may wait for their append; further ones are refused.
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

    /// Appends the record once and waits for its offset. Fails as the log's append does, or with
    /// `not_run` if the record was not sent by `deadline`, or with `may_have_run` if it was.
    verdict<log_offset> append(const stream_name& stream, const log_entry& entry, instant deadline)
    {
        auto it = std::make_shared<pending>(stream, entry, false);
        auto answer = it->answer.get_future();
        if (!add(it))
        {
            return refusal("too many records wait for their append");
        }
        auto left = std::max(deadline - boot_clock().now(), nanoseconds(0));
        if (answer.wait_for(left) == std::future_status::ready)
        {
            return answer.get();
        }
        std::lock_guard lock(mutex_);
        bool unsent = std::erase(waiting_, it) > 0;
        if (unsent)
        {
            return refusal("the record's turn did not come in time");
        }
        return failure{.run = run_state::may_have_run,
                       .code = errc::timeout,
                       .detail = "the log did not answer in time",
                       .retry_after = {}};
    }

    /// Adds a record that is appended until the log has answered, so perhaps more than once.
    /// Returns false when too many wait.
    bool enqueue(const stream_name& stream, const log_entry& entry)
    {
        return add(std::make_shared<pending>(stream, entry, true));
    }

    /// Appends one batch if there is one and the budget allows, and waits a little otherwise.
    /// Returns the pause before the next step.
    milliseconds step()
    {
        constexpr milliseconds look_again(50);
        {
            std::unique_lock lock(mutex_);
            added_.wait_for(lock, look_again, [this] { return !waiting_.empty(); });
            if (waiting_.empty())
            {
                return milliseconds(0);
            }
            instant now = boot_clock().now();
            if (!budget_.acquire(tokens(1), now))
            {
                return std::clamp(budget_.time_until(tokens(1), now).value_or(look_again),
                                  milliseconds(1), look_again);
            }
        }
        return send(take_batch()) ? milliseconds(0) : options_.pause_after_failure;
    }

    std::size_t waiting() const
    {
        std::lock_guard lock(mutex_);
        return waiting_.size();
    }

private:
    struct pending
    {
        pending(stream_name to, log_entry it, bool again)
            : stream(std::move(to)), entry(std::move(it)), until_answered(again)
        {
        }

        stream_name stream;
        log_entry entry;
        bool until_answered;
        std::promise<verdict<log_offset>> answer;
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

    // The oldest record with all others of its stream, in their order.
    batch take_batch()
    {
        std::lock_guard lock(mutex_);
        batch taken;
        if (waiting_.empty())
        {
            return taken;
        }
        stream_name stream = waiting_.front()->stream;
        std::erase_if(waiting_,
                      [&](const std::shared_ptr<pending>& it)
                      {
                          bool fits =
                              it->stream == stream && taken.size() < options_.max_batch_size;
                          if (fits)
                          {
                              taken.push_back(it);
                          }
                          return fits;
                      });
        return taken;
    }

    bool send(const batch& taken)
    {
        if (taken.empty())
        {
            return true;
        }
        std::vector<log_entry> entries;
        for (const auto& it : taken)
        {
            entries.push_back(it->entry);
        }
        auto first = log_.append(taken.front()->stream, entries);
        for (std::size_t i = 0; i < taken.size(); ++i)
        {
            if (first)
            {
                taken[i]->answer.set_value(*first + log_offset(static_cast<std::int64_t>(i)));
                continue;
            }
            if (!taken[i]->until_answered)
            {
                taken[i]->answer.set_value(first.error());
                continue;
            }
            std::lock_guard lock(mutex_);
            waiting_.push_back(taken[i]);
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
