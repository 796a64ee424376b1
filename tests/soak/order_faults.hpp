#pragma once

/// \file
/// Faults around the assignment of engines to entry hosts: hosts that stand still between a call
/// to the store and its response, calls that are carried out late, and partitions that are
/// reassigned without a call. Checks the platform's rule on orders from what the engines received.

#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

class order_faults
{
public:
    /// `log` gets one line for each fault.
    order_faults(soak_fleet& fleet, std::uint64_t seed,
                 std::function<void(const std::string&)> log);
    ~order_faults();

    void inject();
    /// Ends all faults and resumes every host.
    void heal();
    /// The orders that broke the rule: one line each.
    std::vector<std::string> find_violations() const;

private:
    using steady_instant = std::chrono::steady_clock::time_point;

    int draw(int bound);
    call_fault decide(const std::string& path, const std::string& body);
    /// Stops the process of a host for a time.
    void freeze(const std::string& host, std::chrono::milliseconds length);
    void resume(const std::string& host);

    soak_fleet& fleet_;
    std::function<void(const std::string&)> log_;
    std::mt19937_64 random_;
    mutable std::mutex mutex_;
    /// Of the store's calls.
    std::mt19937_64 call_random_;
    /// Calls of this host, or of all if it is empty, have the fault in force.
    std::string faulty_host_;
    /// How many in a hundred calls are refused, are carried out late, or get a late response.
    int refused_ = 0;
    int late_ = 0;
    int slow_ = 0;
    /// The host that makes the next call of this kind is frozen before it gets the response.
    std::string freeze_at_;
    std::chrono::milliseconds freeze_length_{0};
    std::map<std::string, std::vector<steady_instant>> resumed_;
    std::vector<std::jthread> thaws_;
};

} // namespace banyanshunt::soak
