#pragma once

/// \file
/// The decisions of the host that owns a model engine: which models and adapters the engine loads
/// and unloads, and when.
///
/// It is made for a load pattern in which many rarely used models are requested one after another
/// from servers that hold only a few. Load requests for one model become one load, the model that
/// is least needed is evicted, and models that other servers hold too are evicted first. Pure: the
/// time and the engine's responses are arguments.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/backend_table.hpp"
#include "coordination/engine_room.hpp"
#include "coordination/request_rates.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// An order to a model engine.
struct load_order
{
    enum class action_kind
    {
        load,
        unload,
    };
    action_kind action = action_kind::load;
    model_id model;
    /// Empty for the model itself.
    adapter_id adapter;
    /// The engine refuses the order unless it has accepted this many before.
    std::int64_t expected_orders = 0;
};

/// An engine's response to an order.
enum class order_response
{
    /// The order is being carried out.
    accepted,
    /// The ordered state holds, immediately or already before.
    already_done,
    /// Another order is in progress, or the count of orders differs.
    conflict,
    /// Refused: an older fencing number, another server at the address, or a malformed order.
    refused,
    /// No usable response: the order may be carried out now or later.
    unknown,
};

/// What an engine reports when queried; its content is some hundred milliseconds old.
struct residency_report
{
    loaded_models models;
    /// Carrying out an order.
    bool busy = false;
    std::int64_t orders_accepted = 0;
    std::int64_t start_time_ms = 0;
};

/// Why an engine's owner did not carry out a load request.
enum class load_block
{
    none,
    /// Its engine is leaving.
    draining,
    /// The engine's state is unknown, and a report is awaited.
    state_unknown,
    /// The engine refused an order; the next one waits.
    conflict,
    loading,
    /// A model is being unloaded, which lasts until its requests have ended.
    unloading,
    /// No model may be evicted yet.
    no_victim,
    /// All adapters are in use or requested.
    adapter_slots,
    /// The weight store's loads are in use.
    store_limit,
    /// Another server holds the model with room, or is loading it.
    held_elsewhere,
};

/// The reason as it appears in logs and metrics.
const char* to_text(load_block it);

/// A load request that was not repeated in time and not carried out.
struct expired_load_request
{
    model_target target;
    /// From the arrival of the first request that waited for the target.
    milliseconds waited{0};
    load_block block = load_block::none;
};

struct engine_controller_options
{
    /// A load request that is not repeated for this long expires. Waiting requests repeat theirs
    /// every 100 ms; a refused request sent it once, and is retried within this time.
    milliseconds request_ttl{900};
    /// Reported use older than this no longer counts.
    milliseconds usage_ttl{3000};
    /// How long an adapter takes to load; the platform documentation states 5 to 7.2 ms.
    milliseconds adapter_load_time{8};
    int max_adapters_loading = 4;
    /// How long the engine's report lags behind it.
    milliseconds report_lag{450};
    /// How long the registry's entry lags behind the engine.
    milliseconds entry_lag{2500};
    /// Pause after a conflict while another order is in progress.
    milliseconds conflict_backoff{40};
    milliseconds max_conflict_backoff{160};
    /// A model that runs requests is evicted only for one that has been requested for this long, as
    /// the engine accepts no other order until those requests have ended. If no other server holds
    /// the model, three times as long.
    milliseconds busy_eviction_delay{1000};
    /// How long the first reports of use take after this host became the owner.
    milliseconds usage_warmup{700};
    /// Conflicts that last longer than this do not come from an order in progress.
    milliseconds conflict_timeout{500};
    /// How often a load from the weight store that exceeds its stated time is rechecked.
    milliseconds overdue_recheck{1000};
    /// A model that was just loaded is not unloaded again before this.
    milliseconds min_residency{700};
};

/// The state of one engine and the decisions for it.
class engine_controller
{
public:
    struct step
    {
        enum class action_kind
        {
            none,
            query_report,
            order,
        };
        action_kind action = action_kind::none;
        load_order order;
        /// For `none`: when to decide again at the latest.
        instant recheck_at;
    };
    /// What the decision depends on beside the engine's own state.
    struct context
    {
        /// How many other servers can serve a model.
        std::function<int(const model_id&)> count_other_replicas;
        /// Whether another server is about to hold the target's model, or holds it with room.
        std::function<bool(const model_target&)> available_elsewhere;
        /// Acquires a load from this host's share of the weight store's rate; fails if too many are
        /// in flight in the fleet.
        std::function<bool()> acquire_store_load;
    };

    engine_controller(const backend_entry& entry, engine_controller_options options, instant now);

    /// Applies the engine's entry in the registry.
    void update(const backend_entry& entry, instant now);
    /// Applies the engine's report.
    void adopt(const residency_report& report, instant now);
    void request_load(const model_target& target, milliseconds waited, instant now);
    void record_use(const host_id& host, const model_target& target, int running, int requests,
                    instant now);

    step decide(const engine_spec& engine, const context& env, instant now);
    void handle_response(const load_order& order, order_response response,
                         const engine_spec& engine, instant now);

    /// Load requests that expired since the last call without being carried out.
    std::vector<expired_load_request> take_expired_requests();
    /// Requests for a model that hosts reported since it was loaded.
    int requests_since_load(const model_id& model) const;
    /// Unexpired load requests for a model or its adapters.
    int pending_load_requests(const model_id& model) const;

    /// The placement to send to the other hosts.
    server_placement placement(const engine_spec& engine, instant now) const;
    std::int64_t start_time_ms() const { return entry_.start_time_ms; }

private:
    struct adapter_state
    {
        instant ready_at;
        instant used_at;
    };
    struct model_state
    {
        instant ready_at;
        bool unloading = false;
        /// Loading from the weight store, until a report confirms the load: its duration depends on
        /// other loads.
        bool from_store = false;
        std::map<adapter_id, adapter_state> adapters;
        int requests_since_load = 0;
    };
    struct load_request
    {
        instant first;
        instant last;
        load_block block = load_block::none;
    };
    struct target_use
    {
        int running = 0;
        instant at;
    };

    void apply_models(const loaded_models& models, instant now);
    step decide_step(const engine_spec& engine, const context& env, instant now);
    void expire_load_requests(instant now);
    bool holds(const model_target& target) const;
    std::optional<step> adapter_step(const engine_spec& engine, instant now);
    std::optional<step> model_step(const engine_spec& engine, const context& env, instant now);
    /// Loads a model, or evicts another one to make room for it; nothing while the load from the
    /// weight store that it needs cannot be acquired.
    std::optional<step> place_model(const model_id& model, const load_request& request,
                                    const engine_spec& engine, const context& env, instant now);
    /// The first model to unload so that `wanted` fits; nothing if none may be unloaded yet.
    std::optional<model_id> choose_eviction(const engine_spec& engine, const model_id& wanted,
                                            const context& env, milliseconds waited,
                                            instant now) const;
    /// The model to load into the room that the unload in progress gives, if one fits there.
    std::optional<model_id> next_model(const engine_spec& engine, instant now) const;
    step step_after_unload(const engine_spec& engine, const context& env, instant now);
    step unload_model(const model_id& model) const;
    /// Frees the room of the model that was being unloaded.
    void complete_unload();
    /// The load request that has waited longest for a model which the engine does not hold and no
    /// other server is about to; with `local_only`, only for a model in its memory or on its disk.
    const std::pair<const model_target, load_request>*
    oldest_request(const engine_spec& engine, const context& env, bool local_only) const;
    bool is_local(const model_id& model) const
    {
        return entry_.in_memory.contains(model) || entry_.on_disk.contains(model);
    }
    /// Whether the model can be loaded now: it is local, or a load from the weight store is
    /// acquired for it.
    bool acquire_load(const model_id& model, const context& env);
    step load_model(const model_id& model, const context& env, instant now);
    /// The room on the engine. What is being loaded or unloaded, or may be, occupies room.
    engine_room room(const engine_spec& engine) const;
    int running(const model_target& target, instant now) const;
    int running_model(const model_id& model, instant now) const;
    bool loading(instant now) const;
    milliseconds load_time(const model_spec& model) const;

    engine_controller_options options_;
    backend_entry entry_;
    std::map<model_id, model_state> models_;
    /// How many orders the engine has accepted; nothing while unknown.
    std::optional<std::int64_t> orders_accepted_;
    instant report_at_;
    instant ordered_at_;
    /// The model that is being unloaded, and the model to load in its place.
    std::optional<model_id> unloading_;
    instant unload_began_at_;
    /// How many orders the engine had accepted with that unload.
    std::int64_t orders_with_unload_ = 0;
    model_id after_unload_;
    /// The model for which a load from the weight store was acquired but not yet started.
    std::optional<model_id> store_load_for_;
    instant retry_at_;
    milliseconds conflict_backoff_{0};
    instant conflict_since_;
    instant owner_since_;
    std::map<model_target, load_request> load_requests_;
    std::vector<expired_load_request> expired_requests_;
    /// What prevented the last decision from carrying out load requests for models, and for
    /// adapters of held models.
    load_block model_block_ = load_block::none;
    load_block adapter_block_ = load_block::none;
    std::map<model_target, std::map<host_id, target_use>> uses_;
    /// Requests for each model: served ones, and those that asked for a load. Kept for models that
    /// are not held, so that one which is loaded for many refused requests is not the next to be
    /// evicted.
    request_rates<model_id> rates_;
};

} // namespace banyanshunt
