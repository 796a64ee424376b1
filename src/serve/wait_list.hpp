#pragma once

/// \file
/// Defines the list of requests that wait for a change, such as a free place or a finished load.
/// Each waits under the name of what it needs; a change wakes those in order of rank, so the most
/// urgent looks first.

#include <map>
#include <string>

#include "state/clock.hpp"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

class wait_list
{
public:
    /// Waits until what it needs may be there, or until `longest` has passed.
    task<void> wait(std::string what, int priority, instant arrived, nanoseconds longest);
    /// Wakes those who wait for it.
    void wake(const std::string& what);
    void wake_all();

private:
    struct rank
    {
        int priority;
        instant arrived;
        std::uint64_t number;
        friend auto operator<=>(const rank&, const rank&) = default;
    };
    using line = std::map<rank, asio::steady_timer*>;
    std::map<std::string, line> waiting_;
    std::uint64_t next_ = 0;
};

} // namespace banyanshunt
