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
    enum class action
    {
        load,
        unload,
    };
    action what = action::load;
    model_id model;
    /// Empty for the model itself.
    adapter_id adapter;
    /// The engine refuses the order unless it has accepted this many before.
    std::int64_t expected_orders = 0;
};

/// What an engine's answer to an order says.
enum class order_answer
{
    /// It is being carried out.
    accepted,
    /// What was ordered holds, at once or already.
    holds,
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
    model_holdings models;
    /// Carrying out an order.
    bool busy = false;
    std::int64_t orders_accepted = 0;
    std::int64_t born_ms = 0;
};

struct server_duty_options
{
    /// A wish that was not told again for this long is over. Requests that wait tell theirs every
    /// 100 ms; one that was refused told it once, and comes back within this time.
    milliseconds wish_for{900};
    /// Told use older than this no longer counts.
    milliseconds use_for{3000};
    /// How long an adapter is on its way; the platform's sheets state 5 to 7.2 ms.
    milliseconds adapter_load{8};
    int most_adapters_coming = 4;
    /// How long the engine's report lags behind it.
    milliseconds report_lag{450};
    /// How long the registry's entry lags behind the engine.
    milliseconds entry_lag{2500};
    /// Pause after a conflict while another order is under way.
    milliseconds conflict_pause{40};
    milliseconds longest_conflict_pause{160};
    /// A model that runs requests makes way only for one that has been wished for so long, as the
    /// engine takes no other order until the runs have ended; three times as long if no other
    /// server holds it.
    milliseconds wait_for_running{1000};
    /// How long the first reports of use take after this host began to order.
    milliseconds use_known_after{700};
    /// Conflicts that last longer than this are no sign of an order under way.
    milliseconds longest_conflict{500};
    /// How often a load from the weight store that takes longer than stated is looked at.
    milliseconds overdue_period{1000};
    /// A model that was just loaded is not unloaded again before this.
    milliseconds least_stay{700};
};

/// The state of one engine and the decisions for it.
class server_duty
{
public:
    struct step
    {
        enum class kind
        {
            nothing,
            ask_report,
            order,
        };
        kind what = kind::nothing;
        engine_order order;
        /// For `nothing`: when to decide again at the latest.
        instant again_at;
    };
    /// What the decision needs to know beside the engine's own state.
    struct surroundings
    {
        /// How many other servers can serve a model.
        std::function<int(const model_id&)> other_holders;
        /// Whether another server is about to hold a model, or holds it with room.
        std::function<bool(const model_id&)> covered;
        /// Takes a load from the weight store out of this host's part of its rate, if few are under
        /// way in the fleet.
        std::function<bool()> take_store_load;
    };

    server_duty(const backend_entry& entry, server_duty_options options, instant now);

    /// Takes what the engine wrote to the registry.
    void adopt(const backend_entry& entry, instant now);
    /// Takes its report.
    void adopt(const engine_report& report, instant now);
    void wish(const engine_unit& unit, milliseconds waited, instant now);
    void note_use(const host_id& host, const engine_unit& unit, int running, int asked,
                  instant now);

    step decide(const engine_spec& engine, const surroundings& around, instant now);
    void answered(const engine_order& order, order_answer answer, const engine_spec& engine,
                  instant now);

    /// What to tell the other hosts.
    server_placement placement(const engine_spec& engine, instant now) const;
    std::int64_t born_ms() const { return entry_.born_ms; }

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

    void take_models(const model_holdings& models, instant now);
    std::optional<step> adapter_step(const engine_spec& engine, instant now);
    std::optional<step> model_step(const engine_spec& engine, const surroundings& around,
                                   instant now);
    std::optional<model_id> victim(const surroundings& around, milliseconds waited,
                                   instant now) const;
    model_id next_model(instant now) const;
    step load_model(const model_id& model, const surroundings& around, instant now);
    double weights(const engine_spec& engine) const;
    int adapters() const;
    int running(const engine_unit& unit, instant now) const;
    int running_model(const model_id& model, instant now) const;
    double rate(const model_state& model, instant now) const;
    bool loading(instant now) const;
    milliseconds load_length(const model_spec& model) const;

    server_duty_options options_;
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
    std::map<engine_unit, wished> wishes_;
    std::map<engine_unit, std::map<host_id, unit_use>> uses_;
};

} // namespace banyanshunt
