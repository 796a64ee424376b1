#pragma once

/// \file
/// Defines the structured log of an entry host: one line on standard output for each decision, as
/// "event=NAME field=value". A thread of its own writes what has gathered, some times a second; a
/// full buffer or a spent allowance drops lines, counts them and says so, and never blocks the
/// request path.

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include <fmt/format.h>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct event_log_options
{
    /// Bytes that wait for the writer; some 300 lines.
    std::size_t buffer = 131072;
    /// How often the writer writes. A wake-up for each line would cost more than the line.
    milliseconds write_period{200};
    /// Lines a second, on average; a host answers some 20 requests a second with a line or two
    /// each.
    double lines_per_s = 150;
    /// Lines at once above the average.
    double burst = 300;
};

class event_log
{
public:
    explicit event_log(const event_log_options& options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a line, unless too many were written of late.
    template <class... Args>
    void write(const char* event, fmt::format_string<Args...> format, Args&&... args)
    {
        if (allowed())
        {
            push(fmt::format("event={} {}\n", event,
                             fmt::format(format, std::forward<Args>(args)...)));
        }
    }
    std::uint64_t dropped() const { return dropped_; }

private:
    bool allowed();
    void push(const std::string& line);
    void run();

    event_log_options options_;
    double allowance_;
    instant filled_at_;
    std::uint64_t dropped_ = 0;
    std::uint64_t told_dropped_ = 0;
    std::mutex mutex_;
    std::condition_variable closing_;
    std::string gathered_;
    bool closed_ = false;
    std::thread writer_;
};

} // namespace banyanshunt
