#pragma once

/// \file
/// Defines the watch over the tickets in force on each host while a scenario runs.

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "scenario_language/fleet.hpp"
#include "state/periodic_thread.hpp"

namespace banyanshunt::scenario
{

/// Looks again and again from construction to destruction.
class ticket_monitor
{
public:
    explicit ticket_monitor(fleet& watched) : fleet_(watched), duty_([this] { return look(); }) {}

    /// The tickets seen on each host, in the order seen.
    std::map<std::string, std::vector<std::int64_t>> seen() const
    {
        std::lock_guard lock(mutex_);
        return seen_;
    }

private:
    milliseconds look()
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
    periodic_thread duty_;
};

} // namespace banyanshunt::scenario
