#pragma once

/// \file
/// Defines the draft of a plan: the servers with the memory that earlier decisions of the same plan
/// have already given away.

#include "coordination/placement/model_demand.hpp"

namespace banyanshunt
{

/// One server while a plan is made.
struct server_plan
{
    const leased_server* server = nullptr;
    /// Below zero while replicas that make room are still loaded.
    mebibytes free;
};

/// How far the servers here are with one model.
struct model_progress
{
    /// Servers that have it ready and keep it.
    std::vector<server_plan*> ready;
    /// It is being loaded, or an order about it is unsettled.
    bool loading = false;
    std::optional<server_id> loading_on;
};

std::vector<server_plan> make_server_plans(const placement_view& view);

/// Adapters on their way to all servers of the view.
int adapters_in_transit(const placement_view& view);

/// Where `model` stands; replicas in `retiring` count as gone.
model_progress progress_of(std::vector<server_plan>& draft, const model_id& model,
                           const std::set<replica_location>& retiring);

/// Returns the servers that may load `model` for a demand this old, the best first: with room, then
/// with the checkpoint nearest, then with the lowest slot. A slot other than the first is used only
/// when the demand has lasted `spread_after` for each slot before it, because each domain sees the
/// same demand and one replica is enough for it.
std::vector<server_plan*> servers_for_load(std::vector<server_plan>& draft, const model_id& model,
                                           const model_object& object, nanoseconds demand_age,
                                           milliseconds spread_after);

/// An order to `server` about a model or an adapter.
planned_order make_order(const leased_server& server, order_kind kind, const model_id& model,
                         const version_id& version, mebibytes memory);

} // namespace banyanshunt
