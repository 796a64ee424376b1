#include "serve/wait_list.hpp"

#include <boost/asio/this_coro.hpp>

namespace banyanshunt
{

task<void> wait_list::wait(std::string what, int priority, instant arrived, nanoseconds longest)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(longest);
    rank place{.priority = priority, .arrived = arrived, .number = next_++};
    waiting_[what].emplace(place, &timer);
    co_await timer.async_wait(as_result);
    auto found = waiting_.find(what);
    found->second.erase(place);
    if (found->second.empty())
    {
        waiting_.erase(found);
    }
}

void wait_list::wake(const std::string& what)
{
    auto found = waiting_.find(what);
    if (found == waiting_.end())
    {
        return;
    }
    for (const auto& [place, timer] : found->second)
    {
        timer->cancel();
    }
}

void wait_list::wake_all()
{
    for (const auto& [what, its_line] : waiting_)
    {
        for (const auto& [place, timer] : its_line)
        {
            timer->cancel();
        }
    }
}

} // namespace banyanshunt
