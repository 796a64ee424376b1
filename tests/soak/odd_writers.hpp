#pragma once

/// \file
/// Writers that break the platform's protocol during a soak run: odd records in the topics, copies
/// of earlier responses on kept connections, and streams that break and go on wrongly.

#include <functional>
#include <random>
#include <set>
#include <stop_token>
#include <string>

#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

/// What odd writers there are.
enum class odd_kind
{
    entries,
    configurations,
    copies,
    streams,
};

/// Reads a list of kinds, separated by commas; throws std::invalid_argument on an unknown one.
std::set<odd_kind> parse_odd_kinds(const std::string& text);

/// A writer of one kind.
class odd_writer
{
public:
    using logger = std::function<void(const std::string&)>;

    odd_writer(soak_fleet& fleet, std::uint64_t seed, odd_kind kind, logger log);
    /// Writes at random moments until asked to stop, and ends the faults of servers.
    void write(const std::stop_token& stop);
    /// Writes odd records at once, if its kind is one of records, and good ones behind them.
    void write_last_records();

private:
    int draw(int bound);
    void wait(const std::stop_token& stop, int max_ms);
    void write_entries(const std::stop_token& stop);
    void write_odd_entry();
    void write_configuration(const std::stop_token& stop);
    void copy_responses(const std::stop_token& stop);
    void break_streams(const std::stop_token& stop);

    std::mt19937_64 random_;
    soak_fleet& fleet_;
    odd_kind kind_;
    logger log_;
    int large_left_;
};

} // namespace banyanshunt::soak
