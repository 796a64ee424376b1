#pragma once

/// \file
/// Defines the engines and the weight store that the placement decisions run against in tests and
/// benches: plain tables that move with a test clock, with faults drawn from a seed. They check on
/// every step that nothing is overcommitted and that no more replicas are loaded than decided.

#include <random>

#include "coordination/placement/placement_view.hpp"
#include "coordination/weight_store.hpp"

namespace banyanshunt
{

/// Chances for each order, and for each engine in each second, in thousandths.
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
    /// An order that is late takes effect after up to this time.
    milliseconds max_order_delay{2000};
    fleet_faults faults = {};
    std::uint64_t seed = 1;
};

/// What went wrong; all zero in a run that kept the promises.
struct fleet_violations
{
    int memory = 0;
    int replicas = 0;
    int aborted_requests = 0;
    int total() const { return memory + replicas + aborted_requests; }
};

/// How an order ended, as its sender sees it.
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
    /// The engine is gone with all it held.
    void remove(const server_id& server);
    void set_remote_time(milliseconds time) { options_.remote_time = time; }

    bool alive(const server_id& server) const { return engines_.contains(server); }
    /// What the engine reports, unless the answer is lost.
    std::optional<engine_report> read_back(const server_id& server);
    order_response order(const planned_order& it, instant now);

    /// Whether requests for the model, and adapter if there is one, can run there now.
    bool ready(const server_id& server, const model_id& model, const adapter_id& adapter) const;
    void add_running(const server_id& server, const model_id& model, int change);

    /// Moves loads on, lets late orders take effect, draws restarts, and checks the promises.
    void step(instant now, milliseconds by, const fleet_state& state);

    const fleet_violations& violations() const { return violations_; }
    /// Replicas that are ready and run nothing, each by its part of its server's memory.
    double idle_accelerators() const;
    /// Replicas loaded or loading of a model.
    int replicas_of(const model_id& model) const;
    int loads_started() const { return loads_begun_; }
    /// Loads whose replica went without having run a request.
    int loads_wasted() const { return loads_wasted_; }
    const std::map<server_id, engine_report>& engines() const { return engines_; }

private:
    struct moving_load
    {
        server_id server;
        order_target subject;
        checkpoint_tier tier = checkpoint_tier::remote;
        double left_ms = 0;
        instant granted;
    };
    struct late_order
    {
        planned_order order;
        instant at;
    };

    bool chance(int thousandths);
    void apply(const planned_order& it, instant now);
    void load_model(engine_report& engine, const planned_order& it, instant now);
    void load_adapter(engine_report& engine, const planned_order& it, instant now);
    void unload_model(engine_report& engine, const planned_order& it);
    void finish(const moving_load& load);
    void move_loads(instant now, milliseconds by);
    void restart(const server_id& server);
    void drop_replica(const server_id& server, const model_id& model);
    void check(const fleet_state& state);

    fleet_options options_;
    std::mt19937_64 random_;
    std::map<server_id, engine_report> engines_;
    std::vector<moving_load> moving_;
    std::vector<late_order> late_;
    /// Loaded replicas that have not run anything yet.
    std::set<replica_location> unused_;
    instant next_grant_;
    fleet_violations violations_;
    int loads_begun_ = 0;
    int loads_wasted_ = 0;
};

} // namespace banyanshunt
