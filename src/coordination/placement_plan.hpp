#pragma once

/// \file
/// Defines the plan of orders: from the state in force, what the engines hold and what is needed,
/// to the orders that go out now. A pure function; threads and sockets are the placer's.

#include <map>
#include <vector>

#include "coordination/model_engine.hpp"
#include "coordination/replica_need.hpp"
#include "state/fleet_state.hpp"

namespace banyanshunt
{

/// An order with the server that it is for.
struct planned_order
{
    server_id server;
    engine_order order;
};

/// One engine under this placer's lease, as last read back.
struct held_server
{
    server_id server;
    fencing_number fencing;
    engine_report report;
};

/// What a placer plans from.
struct placement_view
{
    fleet_state_ptr state;
    std::vector<held_server> servers;
    std::vector<replica_need> needs;
};

/// Returns the orders for needs that no replica meets, in the order of the needs. Memory under
/// order counts as used.
std::vector<planned_order> plan_orders(const placement_view& view);

} // namespace banyanshunt
