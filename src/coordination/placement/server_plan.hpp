#pragma once

/// \file
/// The working state of a plan: the servers, with the memory that earlier decisions of the same
/// plan have left free.

#include "coordination/placement/model_demand.hpp"

namespace banyanshunt
{

/// One server while a plan is made.
struct server_plan
{
    const leased_server* server = nullptr;
    /// Negative while replicas that are being evicted are still loaded.
    mebibytes free;
};

/// The state of one model on the servers of this domain.
struct model_progress
{
    /// Servers where the model is ready and is not retiring.
    std::vector<server_plan*> ready;
    /// The model is being loaded, or an order for it is unsettled.
    bool loading = false;
    std::optional<server_id> loading_on;
};

std::vector<server_plan> make_server_plans(const placement_view& view);

/// The number of adapter loads in transit to all servers of the view.
int adapters_in_transit(const placement_view& view);

/// Returns the state of `model`; replicas in `retiring` do not count as ready.
model_progress progress_of(std::vector<server_plan>& plans, const model_id& model,
                           const std::set<replica_location>& retiring);

/// Returns the servers that may load `model` for a demand of age `demand_age`, best first: those
/// with enough free memory, then by the fastest checkpoint tier, then by the lowest slot index. A
/// slot other than the first is used only when the demand has lasted `spread_after` for each slot
/// before it, because each domain sees the same demand and one replica may be enough for it.
std::vector<server_plan*> servers_for_load(std::vector<server_plan>& plans, const model_id& model,
                                           const model_object& object, nanoseconds demand_age,
                                           milliseconds spread_after);

/// Makes an order to `server` under its fencing number, with an empty adapter.
planned_order make_order(const leased_server& server, order_kind kind, const model_id& model,
                         const version_id& version, mebibytes memory);

} // namespace banyanshunt
