#pragma once

/// \file
/// Defines the list of requests that wait for a change, such as a free place or a finished load.
/// A change wakes all of them in order of rank, so the most urgent looks first.

#include <map>

#include "state/clock.hpp"
#include "transport/loop/loop.hpp"

namespace banyanshunt
{

class wake_list
{
public:
    /// Waits for `wake` or until `longest` has passed.
    task<void> wait(int priority, instant arrived, nanoseconds longest);
    /// Wakes all who wait now.
    void wake();
    std::size_t size() const { return waiting_.size(); }

private:
    struct rank
    {
        int priority;
        instant arrived;
        std::uint64_t number;
        friend auto operator<=>(const rank&, const rank&) = default;
    };
    std::map<rank, asio::steady_timer*> waiting_;
    std::uint64_t next_ = 0;
};

} // namespace banyanshunt
