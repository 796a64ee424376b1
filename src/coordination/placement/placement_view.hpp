#pragma once

/// \file
/// The input and the result of a placement decision. Both are plain data, so that tests run the
/// decision under a test clock and without sockets.

#include "coordination/placement/order_tracker.hpp"
#include "coordination/replica_demand.hpp"
#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// One engine under this placer's lease, as last read back.
struct leased_server
{
    server_id server;
    fencing_number fencing;
    /// The server gets no new work, and its replicas are unloaded once no request uses them.
    bool leaving = false;
    engine_report report;
    /// The models of which the server owns a usable slot, with the slot's index.
    std::map<model_id, int> slots;
    /// Orders whose effect no report shows yet.
    std::vector<engine_order> unsettled;
};

/// The input of a plan.
struct placement_view
{
    fleet_state_ptr state;
    std::vector<leased_server> servers;
    std::vector<replica_demand> demands;
    instant now;
};

/// An order and its destination.
struct planned_order
{
    server_id server;
    engine_order order;
};

/// One model's replica on one server.
struct replica_location
{
    server_id server;
    model_id model;
    friend bool operator==(const replica_location&, const replica_location&) = default;
    friend auto operator<=>(const replica_location&, const replica_location&) = default;
};

/// When a model in demand is expected to be ready in this domain.
struct expected_load
{
    model_id model;
    nanoseconds ready_in{0};
    /// False if the model is not loaded because all waiting requests would time out before.
    bool useful = true;
};

/// The result of a plan.
struct placement_plan
{
    /// In the sequence in which they are to be sent.
    std::vector<planned_order> orders;
    /// Replicas that will be unloaded; hosts must send them no further requests.
    std::set<replica_location> retiring;
    std::vector<expected_load> expected;
    /// Models whose load has to wait in this domain for at least the duration of a load: another
    /// domain that can start at once would have them ready sooner.
    std::set<model_id> overcommitted;
    /// Another load from the weight store could start now.
    bool lane_free = false;
};

/// Memory that is neither used nor reserved by an unsettled order.
mebibytes free_memory(const leased_server& server);

/// Whether an order for `target` is unsettled.
bool in_flight(const leased_server& server, const order_target& target);

/// The fastest tier in which the server has this version of the checkpoint.
checkpoint_tier cached_tier(const engine_report& report, const model_id& model,
                            const version_id& version);

} // namespace banyanshunt
