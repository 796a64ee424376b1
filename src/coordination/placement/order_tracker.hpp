#pragma once

/// \file
/// Tracks the orders that were sent and whose effect no report shows yet. An order without a
/// response is settled by reading the engine back, and its memory counts as used until then.

#include <map>
#include <set>
#include <vector>

#include "coordination/model_engine.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// The model or adapter that an order concerns; the adapter is empty for the model itself.
struct order_target
{
    model_id model;
    adapter_id adapter;
    friend bool operator==(const order_target&, const order_target&) = default;
    friend auto operator<=>(const order_target&, const order_target&) = default;
};

/// Used by one thread.
class order_tracker
{
public:
    /// `max_order_delay` bounds the time from sending an order to its effect.
    explicit order_tracker(milliseconds max_order_delay) : max_order_delay_(max_order_delay) {}

    /// Records an order; call it right before the order is sent.
    void record_sent(const server_id& server, const engine_order& order, instant now);
    /// Records that the engine has taken the order, so that it cannot be carried out later by
    /// another process.
    void record_taken(const server_id& server, const engine_order& order);
    /// Drops the orders that an engine had taken which has restarted since.
    void drop_taken(const server_id& server);
    /// Drops an order that is known to have had no effect.
    void record_refused(const server_id& server, const engine_order& order);
    /// Drops the orders whose effect `report` shows, and those that can no longer take effect: they
    /// were sent more than `max_order_delay` before `requested_at`, the time at which the report
    /// was requested.
    void settle(const server_id& server, const engine_report& report, instant requested_at);

    bool in_flight(const server_id& server, const order_target& target) const;
    /// Memory that unsettled loads may take beyond what reports show.
    mebibytes pending_memory(const server_id& server) const;
    /// All unsettled orders of a server.
    std::vector<engine_order> orders(const server_id& server) const;

private:
    struct open_order
    {
        engine_order order;
        instant sent_at;
        bool taken = false;
    };

    milliseconds max_order_delay_;
    std::map<server_id, std::map<order_target, open_order>> orders_;
};

/// Makes an order that changes nothing but makes the fencing number known to the engine: it unloads
/// a model with an id that no ticket can use.
engine_order make_fencing_order(fencing_number fencing);

/// Whether `report` shows that `order` has taken effect.
bool shows_effect(const engine_report& report, const engine_order& order);

/// Returns the replica of `model` in a report, or null.
const held_replica* find_replica(const engine_report& report, const model_id& model);

} // namespace banyanshunt
