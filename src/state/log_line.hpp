#pragma once

/// \file
/// The log lines of the daemons: one line to standard error for each change of state, as
/// "level=info event=NAME field=value". Frequent events are counters instead.

#include <cstdio>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace banyanshunt
{

/// Writes one complete line; lines of different threads are not interleaved.
inline void write_log_line(std::string_view level, std::string_view event, std::string_view fields)
{
    std::string line =
        fmt::format("level={} event={}{}{}\n", level, event, fields.empty() ? "" : " ", fields);
    std::fwrite(line.data(), 1, line.size(), stderr);
}

/// Logs a change of state. Example: `log_info("lease_claimed", "server={}", id.str());`
template <class... Args>
void log_info(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    write_log_line("info", event, fmt::format(format, std::forward<Args>(args)...));
}

/// Logs a change of state that an operator may have to act on.
template <class... Args>
void log_warning(std::string_view event, fmt::format_string<Args...> format, Args&&... args)
{
    write_log_line("warning", event, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace banyanshunt
