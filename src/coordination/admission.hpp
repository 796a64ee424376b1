#pragma once

/// \file
/// Admission checks that run before a request may consume any resources: its key, the model or
/// route that it names, and its maximum cost. Pure functions of the state in effect.

#include <optional>
#include <string>

#include "coordination/key_check.hpp"

namespace banyanshunt
{

/// The parameters of a caller's completion request.
struct completion_params
{
    std::string bearer;
    /// The name of a model or of an adapter.
    std::string name;
    std::string prompt;
    std::int64_t max_tokens = 16;
};

/// A completion that was admitted for a workspace.
struct admitted_completion
{
    workspace_id workspace;
    key_id key;
    model_id model;
    /// Empty for a request to the base model.
    adapter_id adapter;
    /// The most that the request can cost.
    millitokens cost;
};

/// A call that was admitted to a plain service. The route is copied from the state that admitted
/// it.
struct admitted_call
{
    /// Empty on a route that needs no key.
    std::optional<key_holder> holder;
    route_id id;
    route_object route;
};

/// The number of tokens that a prompt is charged for: one per four bytes, rounded up.
std::int64_t prompt_cost(const std::string& prompt);

/// Fails with `errc::state_unavailable`, `key_missing`, `key_refused`, `not_found` or
/// `bad_request`.
verdict<admitted_completion> admit_completion(const fleet_state& state,
                                              const completion_params& params);

/// Finds the route whose prefix is the longest that matches `path`; fails like `admit_completion`.
verdict<admitted_call> admit_call(const fleet_state& state, const std::string& path,
                                  const std::string& bearer);

} // namespace banyanshunt
