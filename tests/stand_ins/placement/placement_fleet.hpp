#pragma once

/// \file
/// Simulated engines and a simulated weight store for tests and benches of the placement decisions:
/// plain tables that advance with a test clock, with faults drawn from a seed. Every step checks
/// that no engine's memory is overcommitted and that no more replicas are loaded than decided.

#include <random>

#include "coordination/placement/placement_view.hpp"
#include "coordination/weight_store.hpp"

namespace banyanshunt
{

/// Probabilities per order, and for restarts per engine and second, in thousandths.
struct fleet_faults
{
    int order_lost = 0;
    int order_delayed = 0;
    int response_lost = 0;
    int report_lost = 0;
    int engine_restart = 0;
};

struct fleet_options
{
    weight_store_limits limits;
    milliseconds remote_time{4000};
    milliseconds disk_time{1500};
    milliseconds memory_time{400};
    milliseconds adapter_time{6};
    /// A delayed order takes effect within this time.
    milliseconds max_order_delay{2000};
    fleet_faults faults = {};
    std::uint64_t seed = 1;
};

/// Violations of the placement guarantees; all zero in a correct run.
struct fleet_violations
{
    int memory = 0;
    int replicas = 0;
    int aborted_requests = 0;
    int total() const { return memory + replicas + aborted_requests; }
};

/// The result of an order as its sender sees it.
enum class order_response
{
    accepted,
    refused,
    unknown,
};

/// All engines of a run.
class placement_fleet
{
public:
    explicit placement_fleet(fleet_options options) : options_(options), random_(options.seed) {}

    void add(const server_id& server, mebibytes memory);
    void cache(const server_id& server, const cached_checkpoint& checkpoint);
    /// Removes the engine; its replicas are lost.
    void remove(const server_id& server);
    void set_remote_time(milliseconds time) { options_.remote_time = time; }

    bool alive(const server_id& server) const { return engines_.contains(server); }
    /// Returns the engine's report, or nullopt if the response is lost.
    std::optional<engine_report> read_back(const server_id& server);
    order_response order(const planned_order& it, instant now);

    /// Whether a request for the model, and the adapter unless it is empty, can run there now.
    bool ready(const server_id& server, const model_id& model, const adapter_id& adapter) const;
    void add_running(const server_id& server, const model_id& model, int change);

    /// Advances loads, applies delayed orders, draws restarts, and checks the guarantees.
    void step(instant now, milliseconds by, const fleet_state& state);

    const fleet_violations& violations() const { return violations_; }
    /// The sum over ready replicas without a running request of their fraction of server memory.
    double idle_accelerators() const;
    /// The number of loaded or loading replicas of a model.
    int replicas_of(const model_id& model) const;
    int loads_started() const { return loads_started_; }
    /// The number of loads whose replica was unloaded before it ran a request.
    int loads_wasted() const { return loads_wasted_; }
    const std::map<server_id, engine_report>& engines() const { return engines_; }

private:
    struct active_load
    {
        server_id server;
        order_target target;
        checkpoint_tier tier = checkpoint_tier::remote;
        double left_ms = 0;
        instant granted;
    };
    struct delayed_order
    {
        planned_order order;
        instant due;
    };

    bool chance(int thousandths);
    void apply(const planned_order& it, instant now);
    void load_model(engine_report& engine, const planned_order& it, instant now);
    void load_adapter(engine_report& engine, const planned_order& it, instant now);
    void unload_model(engine_report& engine, const planned_order& it);
    void finish(const active_load& load);
    void advance_loads(instant now, milliseconds by);
    void restart(const server_id& server);
    void drop_replica(const server_id& server, const model_id& model);
    void check(const fleet_state& state);

    fleet_options options_;
    std::mt19937_64 random_;
    std::map<server_id, engine_report> engines_;
    std::vector<active_load> active_;
    std::vector<delayed_order> delayed_;
    /// Loaded replicas that have not run a request yet.
    std::set<replica_location> unused_;
    instant next_grant_;
    fleet_violations violations_;
    int loads_started_ = 0;
    int loads_wasted_ = 0;
};

} // namespace banyanshunt
