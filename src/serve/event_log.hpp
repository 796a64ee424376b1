#pragma once

/// \file
/// Structured log of an entry host: one line on standard output for each decision, as "event=NAME
/// field=value ... unix_ms=TIME", with the time of day so that lines of several hosts can be put in
/// order. A writer thread flushes the buffered lines a few times a second. A full buffer or
/// an exceeded line rate drops lines, counts them and logs the count; it never blocks the request
/// path.

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include <fmt/format.h>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct event_log_options
{
    /// Size of the buffer in bytes; about 300 lines.
    std::size_t buffer = 131072;
    /// Longest line in bytes; what is longer is cut. The longest of the documented lines, with all
    /// names as long as a key can be.
    std::size_t max_line = 4096;
    /// Flush period of the writer. A wake-up for each line would cost more than the line.
    milliseconds write_period{200};
    /// Average lines per second; a host serves about 20 requests a second with one or two lines
    /// each.
    double lines_per_s = 150;
    /// Burst of lines above the average rate.
    double burst = 300;
};

class event_log
{
public:
    explicit event_log(const event_log_options& options);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    /// Writes a line unless the line rate is exceeded.
    template <class... Args>
    void write(const char* event, fmt::format_string<Args...> format, Args&&... args)
    {
        if (acquire_line(0))
        {
            append(event, fmt::format(format, std::forward<Args>(args)...));
        }
    }
    /// Writes a line on a change of state. These have a burst of their own, so that lines on
    /// requests do not displace them.
    template <class... Args>
    void write_change(const char* event, fmt::format_string<Args...> format, Args&&... args)
    {
        if (acquire_line(options_.burst))
        {
            append(event, fmt::format(format, std::forward<Args>(args)...));
        }
    }
    std::uint64_t dropped() const { return dropped_; }

private:
    /// `reserve` is how far the allowance may be overdrawn, in lines.
    bool acquire_line(double reserve);
    /// Adds a line with these fields.
    void append(const char* event, std::string_view fields);
    void run();

    event_log_options options_;
    double allowance_;
    instant refilled_at_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reported_dropped_ = 0;
    std::mutex mutex_;
    std::condition_variable closing_;
    std::string pending_;
    bool closed_ = false;
    std::thread writer_;
};

} // namespace banyanshunt
