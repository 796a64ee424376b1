#pragma once

/// \file
/// Defines the book of orders that were sent and whose effect has not been seen, because an order
/// without an answer is settled by reading back, and its memory counts as used until then.

#include <map>
#include <set>
#include <vector>

#include "coordination/model_engine.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// What an order is about on one server; the adapter is empty for the model itself.
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
    explicit order_tracker(milliseconds longest_order) : longest_order_(longest_order) {}

    /// Notes an order right before it is sent.
    void record_sent(const server_id& server, const engine_order& order, instant now);
    /// Notes that an order surely had no effect.
    void record_refused(const server_id& server, const engine_order& order);
    /// Takes off the book what `report` shows to be done, and what can take effect no more because
    /// it was sent more than the longest order before the report was asked for at `requested_at`.
    void settle(const server_id& server, const engine_report& report, instant asked_at);
    /// Forgets a server whose lease is no longer held here.
    void forget(const server_id& server) { orders_.erase(server); }

    bool in_flight(const server_id& server, const order_target& subject) const;
    /// Memory that unsettled loads may take beyond what reports show.
    mebibytes pending_memory(const server_id& server) const;
    /// All unsettled orders of a server.
    std::vector<engine_order> orders(const server_id& server) const;

private:
    struct open_order
    {
        engine_order order;
        instant sent_at;
    };

    milliseconds longest_order_;
    std::map<server_id, std::map<order_target, open_order>> orders_;
};

/// An order that changes nothing, by which an engine comes to know a fencing number: it unloads a
/// model that no ticket can name.
engine_order make_fencing_order(fencing_number fencing);

/// Whether `report` shows that `order` has taken effect.
bool shows_effect(const engine_report& report, const engine_order& order);

/// Returns the replica of `model` that a report shows, or null.
const held_replica* find_replica(const engine_report& report, const model_id& model);

} // namespace banyanshunt
