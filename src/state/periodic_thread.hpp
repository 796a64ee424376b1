#pragma once

/// \file
/// Defines the thread of one duty, which repeats a step until it is stopped.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "state/units.hpp"

namespace banyanshunt
{

/// Calls a step, pauses, and calls it again, on a thread of its own.
class periodic_thread
{
public:
    /// `kind` does one round and returns how long to pause before the next.
    explicit periodic_thread(std::function<milliseconds()> step)
        : step_(std::move(step)), thread_([this] { run(); })
    {
    }
    ~periodic_thread() { stop(); }
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

    /// Ends the pause under way, if any, so that the next round begins now.
    void wake()
    {
        {
            std::lock_guard lock(mutex_);
            woken_ = true;
        }
        change_.notify_all();
    }

    /// Returns once the step under way has ended; no further one begins.
    void stop()
    {
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        change_.notify_all();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

private:
    void run()
    {
        while (true)
        {
            {
                std::lock_guard lock(mutex_);
                if (stopping_)
                {
                    return;
                }
            }
            milliseconds pause = step_();
            std::unique_lock lock(mutex_);
            change_.wait_for(lock, pause, [this] { return stopping_ || woken_; });
            woken_ = false;
        }
    }

    std::function<milliseconds()> step_;
    std::mutex mutex_;
    std::condition_variable change_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace banyanshunt
