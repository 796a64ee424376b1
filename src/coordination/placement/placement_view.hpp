#pragma once

/// \file
/// Defines what a placement decision is made from and what it says. Both are plain data, so that
/// the decision runs under a test clock and no socket.

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
    /// It gets no new work, and what it holds is unloaded once nobody uses it.
    bool leaving = false;
    engine_report report;
    /// The models of which it owns a slot that counts, with the slot's index.
    std::map<model_id, int> slots;
    /// Orders whose effect has not been seen.
    std::vector<engine_order> unsettled;
};

/// What a placer plans from.
struct placement_view
{
    fleet_state_ptr state;
    std::vector<leased_server> servers;
    std::vector<replica_demand> demands;
    instant now;
};

/// An order with the server that it is for.
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

/// When a model that is waited for is expected to be ready here.
struct expected_load
{
    model_id model;
    nanoseconds ready_in{0};
    /// Whether it will be loaded; else it would be ready after all who wait have given up.
    bool useful = true;
};

/// What to do now.
struct placement_plan
{
    /// In the order in which they should go out.
    std::vector<planned_order> orders;
    /// Replicas about to be unloaded, which are to get no further requests.
    std::set<replica_location> retiring;
    std::vector<expected_load> expected;
    /// Models whose load has to wait here for at least the time of another load: a domain that can
    /// begin at once would have them ready sooner.
    std::set<model_id> overcommitted;
    /// Another load from the weight store could begin now.
    bool lane_free = false;
};

/// Memory that a load may still take: neither used nor claimed by an unsettled order.
mebibytes free_memory(const leased_server& server);

/// Whether an order about `subject` is unsettled.
bool in_flight(const leased_server& server, const order_target& subject);

/// Where the server has this version of the checkpoint.
checkpoint_tier cached_tier(const engine_report& report, const model_id& model,
                            const version_id& version);

} // namespace banyanshunt
