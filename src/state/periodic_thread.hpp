#pragma once

/// \file
/// A thread that repeats a step until it is stopped.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "state/units.hpp"

namespace banyanshunt
{

/// Calls a step repeatedly, with a pause after each call, on its own thread.
class periodic_thread
{
public:
    /// `step` does one iteration and returns how long to pause before the next.
    explicit periodic_thread(std::function<milliseconds()> step)
        : step_(std::move(step)), thread_([this] { run(); })
    {
    }
    ~periodic_thread() { stop(); }
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

    /// Ends the current pause, if any, so that the next iteration starts now.
    void wake()
    {
        {
            std::lock_guard lock(mutex_);
            woken_ = true;
        }
        state_changed_.notify_all();
    }

    /// Stops the thread: waits for the current step to return and starts no further one.
    void stop()
    {
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        state_changed_.notify_all();
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
            state_changed_.wait_for(lock, pause, [this] { return stopping_ || woken_; });
            woken_ = false;
        }
    }

    std::function<milliseconds()> step_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace banyanshunt
