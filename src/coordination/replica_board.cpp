#include "coordination/replica_board.hpp"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{

void replica_board::replace(replica_table table)
{
    {
        std::lock_guard lock(mutex_);
        table_ = std::move(table);
    }
    changed_.notify_all();
}

std::optional<ready_replica> replica_board::choose(const replica_filter& filter) const
{
    replica_table counted = table_;
    for (auto& replica : counted.replicas)
    {
        auto it = in_flight_.find(replica.server);
        replica.load = it == in_flight_.end() ? 0 : it->second;
    }
    return choose_replica(counted, filter);
}

verdict<ready_replica> replica_board::wait_for(const replica_wait& wait)
{
    std::unique_lock lock(mutex_);
    auto found = choose(wait.filter);
    if (found)
    {
        return *found;
    }
    if (waiting_.size() >= most_waiting_)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::queue_full,
                       .detail = fmt::format("{} requests wait already", most_waiting_),
                       .retry_after = milliseconds(1000)};
    }
    std::uint64_t ticket = next_wait_++;
    waiting_.emplace(ticket, wait);
    auto left = wait.deadline - boot_clock().now();
    changed_.wait_for(lock, left,
                      [&]
                      {
                          found = choose(wait.filter);
                          return found.has_value();
                      });
    waiting_.erase(ticket);
    if (!found)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::deadline,
                       .detail = "no replica became ready in time",
                       .retry_after = milliseconds(1000)};
    }
    return *found;
}

std::vector<replica_need> replica_board::needs() const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_need> needs;
    for (const auto& waiting : waiting_)
    {
        const replica_wait& wait = waiting.second;
        auto it = std::find_if(needs.begin(), needs.end(),
                               [&](const replica_need& need) {
                                   return need.model == wait.filter.model &&
                                          need.adapter == wait.filter.adapter;
                               });
        if (it == needs.end())
        {
            needs.push_back({.model = wait.filter.model,
                             .adapter = wait.filter.adapter,
                             .waiting = 1,
                             .deadline = wait.deadline,
                             .workspace = wait.workspace});
            continue;
        }
        ++it->waiting;
        it->last_deadline = std::max(it->last_deadline, wait.deadline);
        if (wait.deadline < it->deadline)
        {
            it->deadline = wait.deadline;
            it->workspace = wait.workspace;
        }
    }
    return needs;
}

void replica_board::add_in_flight(const server_id& server, int change)
{
    std::lock_guard lock(mutex_);
    in_flight_[server] += change;
}

} // namespace banyanshunt
