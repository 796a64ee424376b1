#pragma once

/// \file
/// In-memory engines for tests of placers; some check fencing numbers and some do not. Orders may
/// be lost, be delayed, or lose their response.

#include <map>
#include <optional>
#include <random>
#include <string>

#include "coordination/placement/order_tracker.hpp"

namespace banyanshunt
{

/// Probabilities in thousandths.
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
    /// A delayed order takes effect within this time.
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
    /// Ends the engine's process; its replicas are lost.
    void stop(const std::string& address) { engines_.erase(address); }
    void set_faults(order_faults faults) { options_.faults = faults; }
    /// From now on, orders get no response and take effect after this time; nothing ends that.
    void set_order_delay(std::optional<milliseconds> delay) { order_delay_ = delay; }
    /// The engine stalls as the next order arrives: it sends no response any more, and reads the
    /// orders of the meantime when it resumes.
    void stall_at_order(const std::string& address) { engines_.at(address).stalls_at_order = true; }
    void resume(const std::string& address) { engines_.at(address).stalled = false; }

    verdict<done> order(const std::string& address, const engine_order& order);
    verdict<engine_report> read_back(const std::string& address);

    /// Applies the delayed orders that are due and finishes loads.
    void advance();

    /// The number of engines that hold the model now.
    int replicas_of(const model_id& model) const;
    /// Orders that took effect after one with a higher fencing number.
    int stale_orders() const { return stale_orders_; }
    /// Orders that took the memory of an engine beyond its total.
    int overcommits() const { return overcommits_; }
    int orders() const { return orders_; }
    /// The shortest time between two orders with different fencing numbers at one engine.
    milliseconds closest_holders() const { return closest_holders_; }

private:
    struct engine
    {
        engine_report report;
        bool checks_fencing = false;
        std::map<model_id, instant> loading;
        bool stalls_at_order = false;
        bool stalled = false;
        instant last_order_at;
        fencing_number last_fencing;
    };
    struct delayed_order
    {
        std::string address;
        engine_order order;
        instant due;
    };

    bool chance(int thousandths);
    bool apply(const std::string& address, const engine_order& order);

    const test_clock& clock_;
    memory_engines_options options_;
    std::mt19937_64 random_;
    std::map<std::string, engine> engines_;
    std::vector<delayed_order> delayed_;
    std::int64_t last_incarnation_ = 0;
    int stale_orders_ = 0;
    int overcommits_ = 0;
    int orders_ = 0;
    std::optional<milliseconds> order_delay_;
    milliseconds closest_holders_ = milliseconds::max();
};

} // namespace banyanshunt
