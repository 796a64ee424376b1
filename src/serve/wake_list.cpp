#include "serve/wake_list.hpp"

#include <boost/asio/this_coro.hpp>

namespace banyanshunt
{

task<void> wake_list::wait(int priority, instant arrived, nanoseconds longest)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(longest);
    rank place{.priority = priority, .arrived = arrived, .number = next_++};
    waiting_.emplace(place, &timer);
    co_await timer.async_wait(as_result);
    waiting_.erase(place);
}

void wake_list::wake()
{
    for (const auto& [place, timer] : waiting_)
    {
        timer->cancel();
    }
}

} // namespace banyanshunt
