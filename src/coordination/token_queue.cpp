#include "coordination/token_queue.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

// How often a waiting request checks whether it should stop waiting.
constexpr milliseconds recheck_interval(50);

failure over_rate(const std::string& detail, std::optional<milliseconds> retry_after)
{
    return {.run = run_state::not_run,
            .code = errc::over_rate,
            .detail = detail,
            .retry_after = retry_after};
}

} // namespace

// The result for the first request of the queue, or nothing while it has to wait on.
// Sets `wait_time` to the time until the next attempt.
std::optional<verdict<reservation>> token_queue::try_at_head(const any_token_source& source,
                                                             const token_waiter& waiter,
                                                             instant now,
                                                             milliseconds& wait_time) const
{
    auto held = source.reserve(waiter.workspace, waiter.amount, now);
    if (held || held.error().code != errc::over_rate || !held.error().retry_after)
    {
        return held;
    }
    if (now + *held.error().retry_after > waiter.deadline)
    {
        return held;
    }
    wait_time = std::clamp(*held.error().retry_after, milliseconds(1), recheck_interval);
    return std::nullopt;
}

verdict<reservation> token_queue::reserve(const any_token_source& source,
                                          const token_waiter& waiter)
{
    std::unique_lock lock(mutex_);
    workspace_queue& queue = queues_[waiter.workspace];
    instant now = boot_clock().now();
    milliseconds wait_time = recheck_interval;
    if (queue.request_numbers.empty())
    {
        if (auto result = try_at_head(source, waiter, now, wait_time))
        {
            return *result;
        }
    }
    if (queue.request_numbers.size() >= max_per_workspace_ || waiting_ >= max_total_)
    {
        return over_rate(fmt::format("{} requests of workspace {} already wait for tokens",
                                     queue.request_numbers.size(), waiter.workspace.str()),
                         milliseconds(1000));
    }
    std::uint64_t number = next_number_++;
    queue.request_numbers.push_back(number);
    ++waiting_;
    std::optional<verdict<reservation>> result;
    while (!result)
    {
        queue.changed.wait_for(lock, wait_time);
        now = boot_clock().now();
        wait_time = recheck_interval;
        auto stopped = waiter.stop_waiting ? waiter.stop_waiting() : std::nullopt;
        if (stopped)
        {
            result = *stopped;
        }
        else if (queue.request_numbers.front() == number)
        {
            result = try_at_head(source, waiter, now, wait_time);
        }
        if (!result && now >= waiter.deadline)
        {
            result =
                over_rate("no tokens became available before the deadline", milliseconds(1000));
        }
    }
    std::erase(queue.request_numbers, number);
    --waiting_;
    queue.changed.notify_all();
    return *result;
}

} // namespace banyanshunt
