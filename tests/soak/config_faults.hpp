#pragma once

/// \file
/// Faults around the hosts' reads of the configuration.

#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/config_checks.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

class config_faults
{
public:
    /// `scenario` is empty for any fault that the platform documents, or the name of one. Those of
    /// the platform are: sound, unnoticed, compacted, cut, unanswered, reset, refused, slow,
    /// frozen, killed, stopped and starved; beyond its documents are stale, stale_items and
    /// older_copy.
    config_faults(soak_fleet& fleet, std::uint64_t seed, std::string scenario,
                  std::function<void(const std::string&)> log);

    /// Begins one or two faults, and ends them after a time; the next may follow at once.
    void step();
    const std::vector<config_disturbance>& disturbances() const { return disturbances_; }
    /// Adds the end of a process and the start of the next one.
    void record_restart(std::size_t host);

private:
    struct active_fault
    {
        config_disturbance disturbance = {};
        /// Whether the fault takes a host or the store out of what the rules judge.
        bool excuses = true;
        std::function<void()> end = [] {};
    };

    int draw(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
    std::chrono::milliseconds draw_length(int min_ms, int max_ms);
    active_fault begin(const std::string& kind);
    active_fault begin_at_host(const std::string& kind, std::size_t host);
    void compact();
    void starve(std::chrono::milliseconds length);

    soak_fleet& fleet_;
    std::mt19937_64 random_;
    const std::string scenario_;
    const std::function<void(const std::string&)> log_;
    std::vector<config_disturbance> disturbances_;
};

} // namespace banyanshunt::soak
