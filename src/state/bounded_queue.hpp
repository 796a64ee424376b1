#pragma once

/// \file
/// Defines the bounded ring that joins two duties' threads.
///
/// A full ring refuses at once rather than growing: the duty before it must then refuse or wait,
/// which it can say, while an unbounded queue only hides the delay.

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// A first-in, first-out ring of at most `capacity` items between threads.
template <class Item>
class bounded_queue
{
public:
    explicit bounded_queue(std::size_t capacity) : slots_(capacity) {}

    /// Puts an item in; returns false, leaving `item` unused, when the ring is full or closed.
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
        filled_.notify_one();
        return true;
    }

    /// Takes the oldest item, waiting up to `timeout`; nothing on timeout or when closed and
    /// empty.
    std::optional<Item> pop(milliseconds patience)
    {
        std::unique_lock lock(mutex_);
        filled_.wait_for(lock, patience, [this] { return size_ > 0 || closed_; });
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

    /// Refuses new items from now on and wakes all who wait; items inside can still be taken.
    void close()
    {
        {
            std::lock_guard lock(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
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
    std::condition_variable filled_;
    std::vector<std::optional<Item>> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool closed_ = false;
};

} // namespace banyanshunt
