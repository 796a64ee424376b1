#pragma once

/// \file
/// A bounded pool of threads that serve connections. The HTTP library's pool queues jobs without
/// bound; this one tells each job whether it got a thread within the queue timeout, so that the
/// connection can be refused.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct worker_pool_options
{
    std::size_t threads = 64;
    /// Jobs that may wait for a thread at once.
    std::size_t backlog = 128;
    /// How long a job waits for a thread before the refusing thread calls it with false.
    milliseconds queue_timeout{250};
};

/// Calls each job once: with true on a worker, or with false on the pool's refusing thread.
class worker_pool
{
public:
    using job = std::function<void(bool found_worker)>;

    explicit worker_pool(const worker_pool_options& options);
    ~worker_pool() { stop(); }
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Returns false, without calling `it`, when even the queue of refusals is full.
    bool submit(job it);
    /// Whether jobs wait for a thread now; workers that serve idle connections should end them.
    bool saturated() const;
    /// Runs the waiting jobs, accepts no more, and returns once all jobs have ended.
    void stop();

private:
    struct waiting_job
    {
        job call;
        instant since;
    };

    void work();
    void refuse();
    bool must_refuse(instant now) const;

    worker_pool_options options_;
    mutable std::mutex mutex_;
    std::condition_variable added_;
    std::condition_variable overdue_;
    std::deque<waiting_job> waiting_;
    std::size_t idle_ = 0;
    bool stopping_ = false;
    std::vector<std::thread> workers_;
    std::thread refusal_thread_;
};

} // namespace banyanshunt
