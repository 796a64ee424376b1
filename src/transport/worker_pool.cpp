#include "transport/worker_pool.hpp"

#include <algorithm>

namespace banyanshunt
{

worker_pool::worker_pool(const worker_pool_options& options) : options_(options)
{
    for (std::size_t i = 0; i < options_.threads; ++i)
    {
        workers_.emplace_back([this] { work(); });
    }
    refusal_thread_ = std::thread([this] { refuse(); });
}

bool worker_pool::submit(job it)
{
    {
        std::lock_guard lock(mutex_);
        // Twice the backlog leaves the refusing thread room to catch up.
        if (stopping_ || waiting_.size() >= 2 * options_.backlog)
        {
            return false;
        }
        waiting_.push_back({.call = std::move(it), .since = boot_clock().now()});
    }
    added_.notify_one();
    overdue_.notify_one();
    return true;
}

bool worker_pool::saturated() const
{
    std::lock_guard lock(mutex_);
    return waiting_.size() > idle_;
}

void worker_pool::work()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        ++idle_;
        added_.wait(lock, [this] { return !waiting_.empty() || stopping_; });
        --idle_;
        if (waiting_.empty())
        {
            return;
        }
        job next = std::move(waiting_.front().call);
        waiting_.pop_front();
        lock.unlock();
        next(true);
        next = nullptr;
        lock.lock();
    }
}

bool worker_pool::must_refuse(instant now) const
{
    bool overfull = waiting_.size() > options_.backlog;
    bool overdue = !waiting_.empty() && now - waiting_.front().since >= options_.queue_timeout;
    return idle_ == 0 && (overfull || overdue);
}

void worker_pool::refuse()
{
    constexpr milliseconds recheck_interval(20);
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        if (waiting_.empty())
        {
            overdue_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
            continue;
        }
        if (!must_refuse(boot_clock().now()))
        {
            overdue_.wait_for(lock, recheck_interval);
            continue;
        }
        job next = std::move(waiting_.front().call);
        waiting_.pop_front();
        lock.unlock();
        next(false);
        next = nullptr;
        lock.lock();
    }
}

void worker_pool::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    added_.notify_all();
    overdue_.notify_all();
    if (refusal_thread_.joinable())
    {
        refusal_thread_.join();
    }
    for (auto& worker : workers_)
    {
        if (worker.joinable())
        {
            worker.join();
        }
    }
}

} // namespace banyanshunt
