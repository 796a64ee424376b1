#include "coordination/token_queue.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

// How often a wait looks whether it should go on.
constexpr milliseconds look_again(50);

failure over_rate(const std::string& detail, std::optional<milliseconds> retry_after)
{
    return {.run = run_state::not_run,
            .code = errc::over_rate,
            .detail = detail,
            .retry_after = retry_after};
}

} // namespace

// The answer for the first in line, or nothing while its tokens are still to come.
std::optional<verdict<reservation>> token_queue::try_at_head(const any_token_source& source,
                                                             const token_waiter& wait, instant now,
                                                             milliseconds& pause) const
{
    auto held = source.reserve(wait.workspace, wait.amount, now);
    if (held || held.error().code != errc::over_rate || !held.error().retry_after)
    {
        return held;
    }
    if (now + *held.error().retry_after > wait.deadline)
    {
        return held;
    }
    pause = std::clamp(*held.error().retry_after, milliseconds(1), look_again);
    return std::nullopt;
}

verdict<reservation> token_queue::reserve(const any_token_source& source, const token_waiter& wait)
{
    std::unique_lock lock(mutex_);
    line& in = lines_[wait.workspace];
    instant now = boot_clock().now();
    milliseconds pause = look_again;
    if (in.numbers.empty())
    {
        if (auto answer = try_at_head(source, wait, now, pause))
        {
            return *answer;
        }
    }
    if (in.numbers.size() >= longest_ || waiting_ >= most_)
    {
        return over_rate(fmt::format("{} requests of {} wait for tokens already", in.numbers.size(),
                                     wait.workspace.str()),
                         milliseconds(1000));
    }
    std::uint64_t number = next_number_++;
    in.numbers.push_back(number);
    ++waiting_;
    std::optional<verdict<reservation>> answer;
    while (!answer)
    {
        in.moved.wait_for(lock, pause);
        now = boot_clock().now();
        pause = look_again;
        auto stopped = wait.stop_waiting ? wait.stop_waiting() : std::nullopt;
        if (stopped)
        {
            answer = *stopped;
        }
        else if (in.numbers.front() == number)
        {
            answer = try_at_head(source, wait, now, pause);
        }
        if (!answer && now >= wait.deadline)
        {
            answer = over_rate("no tokens came within the deadline", milliseconds(1000));
        }
    }
    std::erase(in.numbers, number);
    --waiting_;
    in.moved.notify_all();
    return *answer;
}

} // namespace banyanshunt
