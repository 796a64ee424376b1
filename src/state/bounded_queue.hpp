#pragma once

/// \file
/// A bounded queue between the threads of two subsystems.
///
/// A full queue refuses new items instead of growing. The producer must then refuse its own work or
/// wait, and can report that, while an unbounded queue only hides the delay.

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// A thread-safe first-in, first-out ring buffer of at most `capacity` items.
template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : slots_(capacity) {}

    /// Adds an item; returns false and discards `item` if the queue is full or closed.
    bool try_push(Item item)
    {
        {
            std::lock_guard lock(mutex_);
            if (closed_ || size_ == slots_.size())
            {
                return false;
            }
            slots_[(head_ + size_) % slots_.size()] = std::move(item);
            ++size_;
        }
        item_added_.notify_one();
        return true;
    }

    /// Removes and returns the oldest item, waiting up to `timeout`; nothing on timeout or if the
    /// queue is closed and empty.
    std::optional<Item> pop(milliseconds timeout)
    {
        std::unique_lock lock(mutex_);
        item_added_.wait_for(lock, timeout, [this] { return size_ > 0 || closed_; });
        if (size_ == 0)
        {
            return std::nullopt;
        }
        std::optional<Item> item = std::move(slots_[head_]);
        slots_[head_].reset();
        head_ = (head_ + 1) % slots_.size();
        --size_;
        return item;
    }

    /// Refuses new items from now on and wakes all waiting threads. Queued items can still be
    /// removed.
    void close()
    {
        {
            std::lock_guard lock(mutex_);
            closed_ = true;
        }
        item_added_.notify_all();
    }

    bool closed() const
    {
        std::lock_guard lock(mutex_);
        return closed_;
    }

    std::size_t size() const
    {
        std::lock_guard lock(mutex_);
        return size_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable item_added_;
    std::vector<std::optional<Item>> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool closed_ = false;
};

} // namespace banyanshunt
