#pragma once

/// \file
/// Defines engines in memory for tests of placers, some that check fencing numbers and some that do
/// not, with orders that are lost, land late, or lose their answer.

#include <map>
#include <random>
#include <string>

#include "coordination/placement/order_tracker.hpp"

namespace banyanshunt
{

/// Chances in thousandths.
struct order_faults
{
    int lost = 0;
    int delayed = 0;
    int response_lost = 0;
    int report_lost = 0;
};

struct memory_engines_options
{
    milliseconds load_time{1000};
    /// A late order takes effect within this time.
    milliseconds max_order_delay{2000};
    order_faults faults = {};
    std::uint64_t seed = 1;
};

/// All engines, by address.
class memory_engines
{
public:
    memory_engines(const test_clock& clock, memory_engines_options options)
        : clock_(clock), options_(options), random_(options.seed)
    {
    }

    void add(const std::string& address, mebibytes memory, bool checks_fencing);
    /// The engine's process ends, with all that it held.
    void stop(const std::string& address) { engines_.erase(address); }
    void set_faults(order_faults faults) { options_.faults = faults; }

    verdict<done> order(const std::string& address, const engine_order& order);
    verdict<engine_report> read_back(const std::string& address);

    /// Lets late orders take effect and finishes loads.
    void advance();

    /// Servers that hold the model now.
    int replicas_of(const model_id& model) const;
    /// Orders that took effect after one with a higher fencing number.
    int stale_orders() const { return stale_orders_; }
    /// Orders that took the memory of an engine beyond its total.
    int overcommits() const { return overcommits_; }
    int orders() const { return orders_; }

private:
    struct engine
    {
        engine_report report;
        bool checks_fencing = false;
        std::map<model_id, instant> loading;
    };
    struct late_order
    {
        std::string address;
        engine_order order;
        instant at;
    };

    bool chance(int thousandths);
    bool apply(const std::string& address, const engine_order& order);

    const test_clock& clock_;
    memory_engines_options options_;
    std::mt19937_64 random_;
    std::map<std::string, engine> engines_;
    std::vector<late_order> late_;
    int stale_orders_ = 0;
    int overcommits_ = 0;
    int orders_ = 0;
};

} // namespace banyanshunt
