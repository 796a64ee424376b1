#include "serve/wait_list.hpp"

#include <boost/asio/this_coro.hpp>

namespace banyanshunt
{

task<void> wait_list::wait(std::string key, int priority, instant arrived, nanoseconds timeout)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(timeout);
    rank position{.priority = priority, .arrived = arrived, .sequence = next_sequence_++};
    queues_[key].emplace(position, &timer);
    co_await timer.async_wait(as_result);
    auto it = queues_.find(key);
    it->second.erase(position);
    if (it->second.empty())
    {
        queues_.erase(it);
    }
}

void wait_list::wake(const std::string& key)
{
    auto it = queues_.find(key);
    if (it == queues_.end())
    {
        return;
    }
    for (const auto& [position, timer] : it->second)
    {
        timer->cancel();
    }
}

void wait_list::wake_all()
{
    for (const auto& [key, queue] : queues_)
    {
        for (const auto& [position, timer] : queue)
        {
            timer->cancel();
        }
    }
}

} // namespace banyanshunt
