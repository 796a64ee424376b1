#pragma once

/// \file
/// List of requests that wait for a change, such as a free permit or a finished load. Each waits
/// under a key that names what it needs; a change wakes those under its key in order of rank, so
/// the most urgent checks first.

#include <map>
#include <string>

#include "state/clock.hpp"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

class wait_list
{
public:
    /// Waits until `key` is woken or `timeout` has passed.
    task<void> wait(std::string key, int priority, instant arrived, nanoseconds timeout);
    /// Wakes all that wait for `key`.
    void wake(const std::string& key);
    void wake_all();

private:
    struct rank
    {
        int priority;
        instant arrived;
        std::uint64_t sequence;
        friend auto operator<=>(const rank&, const rank&) = default;
    };
    using wait_queue = std::map<rank, asio::steady_timer*>;
    std::map<std::string, wait_queue> queues_;
    std::uint64_t next_sequence_ = 0;
};

} // namespace banyanshunt
