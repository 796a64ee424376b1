#pragma once

/// \file
/// Merges the logs of entry hosts with the engines' record of the orders that they received, and
/// shows around each pair of orders that breaks the platform's rule what led to it. Pure: lines in,
/// lines out.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tools/order_rule.hpp"

namespace banyanshunt
{

/// A time of day, as logs state it.
using unix_instant = std::chrono::sys_time<std::chrono::milliseconds>;

/// One line of a log, "event=NAME field=value ... unix_ms=TIME".
struct log_line
{
    std::string event;
    /// The first value of each field, without quotes.
    std::map<std::string, std::string, std::less<>> fields;

    /// An empty string if there is no such field.
    const std::string& text(std::string_view field) const;
    /// Nothing if the field is missing or no number between 0 and the largest time.
    std::optional<std::int64_t> number(std::string_view field) const;
    std::optional<unix_instant> time(std::string_view field) const;
};

/// Nothing if the line does not begin with an event.
std::optional<log_line> parse_log_line(std::string_view text);

/// The line of the engines' record for an order whose times are on this process' steady clock;
/// `unix_offset` is the time of day at that clock's zero.
std::string received_order_line(const std::string& server, const received_order& order,
                                std::chrono::nanoseconds unix_offset);

/// What happened to an engine at one moment.
struct timeline_entry
{
    unix_instant at;
    /// The host, or "engine" for what the engine recorded.
    std::string source;
    std::string text;
    /// The fencing number of a claim.
    std::optional<std::int64_t> claim_fence = {};
    /// Index of the engine's recorded order.
    std::optional<std::size_t> order = {};
};

/// The lines of all hosts and engines that bear on orders. Times of recorded orders are times of
/// day on the steady clock's type.
class order_logs
{
public:
    /// Adds the lines of one host. `name` stands for the host until its first line `start`.
    void add_host_log(const std::vector<std::string>& lines, std::string name);
    void add_record(const std::vector<std::string>& lines);

    /// All entries of one engine, by time.
    std::vector<timeline_entry> timeline(const std::string& server) const;
    /// The recorded orders of each engine, in the order of the record.
    const std::map<std::string, std::vector<received_order>>& orders() const { return orders_; }
    /// The time of the first entry of any host or engine.
    unix_instant begun() const { return begun_.value_or(unix_instant()); }
    /// Lines that are malformed or lack a field that is needed.
    std::size_t skipped() const { return skipped_; }

private:
    struct host_line
    {
        unix_instant at;
        std::string host;
        log_line line;
    };

    /// Returns whether the line is well-formed.
    bool add_host_line(const std::string& text, std::string& host);
    bool add_order(const std::string& text);
    void record_time(unix_instant at);
    /// The partitions that hosts state for an engine, and the hosts that claimed one of them or
    /// ordered the engine.
    std::set<std::int64_t> partitions_of(const std::string& server) const;
    std::set<std::string> hosts_of(const std::string& server,
                                   const std::set<std::int64_t>& partitions) const;

    std::vector<host_line> host_lines_;
    std::map<std::string, std::vector<received_order>> orders_;
    std::optional<unix_instant> begun_;
    std::size_t skipped_ = 0;
};

/// Two orders to one engine that break the rule by one dating.
struct engine_breach
{
    std::string server;
    order_dating dating = order_dating::arrival;
    order_breach breach;
};

/// Judges the recorded orders of all engines by both datings, without excuses.
std::vector<engine_breach> judge_engines(const order_logs& logs, std::chrono::milliseconds lease);

/// One line for each entry; times are also given in seconds after `begun`.
std::vector<std::string> format_timeline(const std::vector<timeline_entry>& entries,
                                         unix_instant begun);

/// For each of the first `most` pairs how it breaks the rule and the part of the timeline around
/// it: from the claim under which the earlier order was given, but at most 20 s before its arrival,
/// to the last effect of the two. The claims of both and, marked, the two orders are always shown.
std::vector<std::string> explain_breaches(const order_logs& logs,
                                          const std::vector<engine_breach>& breaches,
                                          std::size_t most, unix_instant begun);

} // namespace banyanshunt
