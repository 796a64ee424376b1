#pragma once

/// \file
/// Faults around the assignment of engines to entry hosts: hosts that stall between a call
/// to the store and its response, calls that are carried out late, partitions that are reassigned
/// without a call, and orders that are held up on their way or reach a stalled engine.

#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/order_checks.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

/// Which faults are injected.
enum class order_fault_scope
{
    all,
    /// Those of the store and of its group, and hosts that are stopped or killed.
    store,
};

class order_faults
{
public:
    /// `log` gets one line for each fault, on any thread.
    order_faults(soak_fleet& fleet, std::uint64_t seed, order_fault_scope scope,
                 std::function<void(const std::string&)> log);
    ~order_faults();

    void inject();
    /// Ends the trouble of the store.
    void restore_store();
    /// Ends all faults and resumes every host.
    void heal();
    /// What excuses orders that engines received.
    order_disturbances history() const;

private:
    /// How the store treats the calls of one host, or of all.
    struct store_trouble
    {
        const soak_fleet::host* caller = nullptr;
        int refused_percent = 0;
        int late_percent = 0;
        int slow_percent = 0;
    };
    /// The next call with this path freezes its caller before it gets the response.
    struct call_freeze
    {
        std::string path;
        std::chrono::milliseconds length;
    };

    /// The next appends, of any host, that are late or whose responses are lost.
    struct append_trouble
    {
        int left = 0;
        std::chrono::milliseconds carry_out_delay{0};
    };

    int draw(int bound);
    std::chrono::milliseconds draw_length(std::chrono::milliseconds min,
                                          std::chrono::milliseconds max);
    std::chrono::milliseconds leases(double n) const;
    soak_fleet::host* find_caller(const std::string& body);
    call_fault decide(const std::string& path, const std::string& body);
    void trouble_store(const soak_fleet::host& it);
    /// Drops all history and assigns all partitions anew, after reads that were stale or not.
    void compact_store();
    void lose_appends();
    void rebalance_and_back();
    /// Stops the process of a host for a time.
    void freeze(soak_fleet::host& it, std::chrono::milliseconds length);
    void resume(soak_fleet::host& it);

    soak_fleet& fleet_;
    const order_fault_scope scope_;
    const std::function<void(const std::string&)> log_;
    std::mt19937_64 random_;
    /// Guards the members below: calls to the store and the ends of freezes have their own threads.
    mutable std::mutex mutex_;
    std::mt19937_64 call_random_;
    store_trouble store_trouble_;
    append_trouble append_trouble_;
    std::optional<call_freeze> call_freeze_;
    order_disturbances history_;
    /// Last, so that its threads end before what they use.
    std::vector<std::jthread> thaws_;
};

} // namespace banyanshunt::soak
