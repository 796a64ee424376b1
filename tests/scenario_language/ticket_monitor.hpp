#pragma once

/// \file
/// Records the tickets in effect on each host while a scenario runs.

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "scenario_language/fleet.hpp"
#include "state/periodic_thread.hpp"

namespace banyanshunt::scenario
{

/// Polls all hosts from construction to destruction.
class ticket_monitor
{
public:
    explicit ticket_monitor(fleet& monitored)
        : fleet_(monitored), poller_([this] { return poll(); })
    {
    }

    /// The tickets observed on each host, in the order observed.
    std::map<std::string, std::vector<std::int64_t>> seen() const
    {
        std::lock_guard lock(mutex_);
        return seen_;
    }

private:
    milliseconds poll()
    {
        constexpr milliseconds interval(20);
        for (const auto& [name, host] : fleet_.hosts())
        {
            auto ticket = fleet_.ticket_on(name);
            std::lock_guard lock(mutex_);
            if (ticket)
            {
                seen_[name].push_back(*ticket);
            }
        }
        return interval;
    }

    fleet& fleet_;
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::int64_t>> seen_;
    periodic_thread poller_;
};

} // namespace banyanshunt::scenario
