#pragma once

/// \file
/// The callers of one soak run, and the outcome of each of their requests.

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace banyanshunt::soak
{

using steady_instant = std::chrono::steady_clock::time_point;

/// The time budget that requests state.
inline constexpr std::chrono::milliseconds time_budget{4000};

enum class call_kind
{
    book,
    read,
    guide,
};

struct call_record
{
    std::string id;
    call_kind kind = call_kind::read;
    std::string key;
    /// Empty for requests to plain services.
    std::string model;
    steady_instant sent;
    steady_instant ended;
    /// 0 if the connection ended without a whole response.
    int status = 0;
    /// The status of the response that began; 0 if none did.
    int begun_status = 0;
    /// What came of the body.
    std::string body;
    /// The index of the host.
    std::size_t host = 0;
};

class soak_callers
{
public:
    /// Calls the hosts at these addresses until destroyed or stopped. Every second request of a
    /// caller has the long time budget.
    soak_callers(std::vector<std::string> ips, int port, std::uint64_t seed,
                 std::chrono::milliseconds long_time_budget);
    ~soak_callers() { stop(); }
    void stop();
    /// All completed calls; valid after `stop`.
    const std::vector<call_record>& records() const { return records_; }

private:
    void run_caller(int caller, std::uint64_t seed);

    std::vector<std::string> ips_;
    int port_;
    std::chrono::milliseconds long_time_budget_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<call_record> records_;
    std::vector<std::thread> threads_;
};

} // namespace banyanshunt::soak
