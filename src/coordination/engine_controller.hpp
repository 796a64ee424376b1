#pragma once

/// \file
/// Defines what the one host that orders a model engine decides for it: which models and adapters
/// it loads and unloads, and when.
///
/// It answers the pattern in which many rarely used models are asked for in turn at servers that
/// hold only a few: wishes for one model become one load, the model that is missed least makes way,
/// and a server that other servers can stand in for is preferred. Pure: time and answers come in.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "coordination/backend_table.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// An order to a model engine.
struct engine_order
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

/// What an engine's answer to an order says.
enum class order_response
{
    /// It is being carried out.
    accepted,
    /// What was ordered holds, at once or already.
    already_done,
    /// Another order is under way, or the count of orders differs.
    conflict,
    /// Refused: an older fencing number, another server at the address, or a malformed order.
    refused,
    /// Nothing was learned: the order may be carried out now or later.
    unknown,
};

/// What an engine reports when it is asked; as of some hundred milliseconds ago.
struct engine_report
{
    loaded_models models;
    /// Carrying out an order.
    bool busy = false;
    std::int64_t orders_accepted = 0;
    std::int64_t start_time_ms = 0;
};

struct engine_controller_options
{
    /// A wish that was not told again for this long is over. Requests that wait tell theirs every
    /// 100 ms; one that was refused told it once, and comes back within this time.
    milliseconds request_ttl{900};
    /// Told use older than this no longer counts.
    milliseconds usage_ttl{3000};
    /// How long an adapter is on its way; the platform's sheets state 5 to 7.2 ms.
    milliseconds adapter_load_time{8};
    int max_adapters_loading = 4;
    /// How long the engine's report lags behind it.
    milliseconds report_lag{450};
    /// How long the registry's entry lags behind the engine.
    milliseconds entry_lag{2500};
    /// Pause after a conflict while another order is under way.
    milliseconds conflict_backoff{40};
    milliseconds max_conflict_backoff{160};
    /// A model that runs requests makes way only for one that has been wished for so long, as the
    /// engine takes no other order until the runs have ended; three times as long if no other
    /// server holds it.
    milliseconds busy_eviction_delay{1000};
    /// How long the first reports of use take after this host began to order.
    milliseconds usage_warmup{700};
    /// Conflicts that last longer than this are no sign of an order under way.
    milliseconds conflict_timeout{500};
    /// How often a load from the weight store that takes longer than stated is looked at.
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
        engine_order order;
        /// For `none`: when to decide again at the latest.
        instant recheck_at;
    };
    /// What the decision needs to know beside the engine's own state.
    struct context
    {
        /// How many other servers can serve a model.
        std::function<int(const model_id&)> count_other_replicas;
        /// Whether another server is about to hold a model, or holds it with room.
        std::function<bool(const model_id&)> available_elsewhere;
        /// Takes a load from the weight store out of this host's part of its rate, if few are under
        /// way in the fleet.
        std::function<bool()> acquire_store_load;
    };

    engine_controller(const backend_entry& entry, engine_controller_options options, instant now);

    /// Takes what the engine wrote to the registry.
    void update(const backend_entry& entry, instant now);
    /// Takes its report.
    void adopt(const engine_report& report, instant now);
    void request_load(const model_target& unit, milliseconds waited, instant now);
    void record_use(const host_id& host, const model_target& unit, int running, int asked,
                    instant now);

    step decide(const engine_spec& engine, const context& around, instant now);
    void handle_response(const engine_order& order, order_response answer,
                         const engine_spec& engine, instant now);

    /// What to tell the other hosts.
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
        bool leaving = false;
        /// On its way from the weight store, until a report says that it is there: how long that
        /// takes depends on other loads.
        bool from_store = false;
        std::map<adapter_id, adapter_state> adapters;
        /// Requests a second, decaying.
        double rate = 0;
        instant rate_at;
    };
    struct wished
    {
        instant first;
        instant last;
    };
    struct unit_use
    {
        int running = 0;
        instant at;
    };

    void take_models(const loaded_models& models, instant now);
    std::optional<step> adapter_step(const engine_spec& engine, instant now);
    std::optional<step> model_step(const engine_spec& engine, const context& around, instant now);
    std::optional<model_id> victim(const context& around, milliseconds waited, instant now) const;
    model_id next_model(instant now) const;
    step load_model(const model_id& model, const context& around, instant now);
    double weights(const engine_spec& engine) const;
    int adapters() const;
    int running(const model_target& unit, instant now) const;
    int running_model(const model_id& model, instant now) const;
    double rate(const model_state& model, instant now) const;
    bool loading(instant now) const;
    milliseconds load_length(const model_spec& model) const;

    engine_controller_options options_;
    backend_entry entry_;
    std::map<model_id, model_state> models_;
    /// Nothing until it is known how many orders the engine has accepted.
    std::optional<std::int64_t> orders_;
    instant report_at_;
    instant ordered_at_;
    /// Being unloaded, and the model that comes in its place.
    std::optional<model_id> unloading_;
    model_id after_unload_;
    /// The model for which a load from the weight store was taken and is not begun.
    std::optional<model_id> store_load_for_;
    instant retry_at_;
    milliseconds conflict_pause_{0};
    instant conflict_since_;
    instant begun_at_;
    std::map<model_target, wished> wishes_;
    std::map<model_target, std::map<host_id, unit_use>> uses_;
};

} // namespace banyanshunt
