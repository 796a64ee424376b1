#pragma once

/// \file
/// Defines what a request must pass before it may cost anything: its key, the name it asks for, and
/// what it may cost at most. Pure functions of the state in force.

#include <optional>
#include <string>

#include "coordination/key_check.hpp"

namespace banyanshunt
{

/// What a caller asks of a model.
struct completion_params
{
    std::string bearer;
    /// The name of a model or of an adapter.
    std::string name;
    std::string prompt;
    std::int64_t max_tokens = 16;
};

/// A completion that may run for a workspace.
struct admitted_completion
{
    workspace_id workspace;
    key_id key;
    model_id model;
    /// Empty when the base model is asked.
    adapter_id adapter;
    /// The most that the request can cost.
    millitokens cost;
};

/// A call that may run at a plain service. The route is a copy from the state that admitted it.
struct admitted_call
{
    /// Nothing on a route open to all.
    std::optional<key_holder> holder;
    route_id id;
    route_object route;
};

/// The number of tokens that a prompt is charged for: one for each four bytes, rounded up.
std::int64_t prompt_cost(const std::string& prompt);

/// Fails with `errc::state_unavailable`, `key_missing`, `key_refused`, `not_found` or
/// `bad_request`.
verdict<admitted_completion> admit_completion(const fleet_state& state,
                                              const completion_params& ask);

/// Finds the route with the longest prefix of `path`; fails like `admit_completion`.
verdict<admitted_call> admit_call(const fleet_state& state, const std::string& path,
                                  const std::string& bearer);

} // namespace banyanshunt
