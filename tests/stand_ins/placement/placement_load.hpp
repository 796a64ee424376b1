#pragma once

/// \file
/// The deployments and request loads of the placement tests and benches, drawn from a seed.

#include <string>
#include <vector>

#include "coordination/placement/load_budget.hpp"
#include "stand_ins/placement/placement_fleet.hpp"
#include "state/fleet_state.hpp"

namespace banyanshunt
{

struct deployment
{
    std::string name;
    int domains = 4;
    int servers = 12;
    int models = 45;
    int adapters = 60;
    weight_store_limits limits;
    milliseconds deadline{30'000};
};

/// Prairie Air Quality Services Agency.
deployment agency();
/// Chautari Fitout Quotes.
deployment chautari();

/// The state in effect after the operators' tickets for a deployment.
fleet_state_ptr state_of(const deployment& it, std::uint64_t seed);

/// A request for a completion.
struct placed_request
{
    instant arrival;
    model_id model;
    adapter_id adapter;
    workspace_id workspace;
    instant deadline;
    milliseconds service{2000};
};

enum class load_scenario
{
    steady,
    burst,
    slow_store,
    lost_server,
};

/// Returns the name printed in tables.
std::string to_string(load_scenario it);

/// Draws the requests of a run of `length` that starts at `start`, in order of arrival. All
/// scenarios have the same steady requests; all but the steady one also have a burst of first
/// requests for 20 idle models at all hosts, half-way through the run.
std::vector<placed_request> draw_requests(const deployment& it, load_scenario scenario,
                                          instant start, seconds length, std::uint64_t seed);

/// Places checkpoints unevenly in the memory and on the disks of the servers.
void draw_caches(const fleet_state& state, placement_fleet& fleet, std::uint64_t seed);

} // namespace banyanshunt
