#pragma once

/// \file
/// Defines what a placement policy chooses: which load goes first, whether it is worth beginning,
/// how long an idle replica is kept, and which idle replica makes room. Everything that the
/// promises rest on is outside, so that no policy can break one.

#include "coordination/model_engine.hpp"
#include "coordination/replica_demand.hpp"

namespace banyanshunt
{

/// A load that could be begun for a need.
struct load_candidate
{
    replica_demand demand;
    /// When the need was first seen.
    instant since;
    /// Where the server has the checkpoint.
    checkpoint_tier tier = checkpoint_tier::remote;
    nanoseconds duration{0};
    /// Loads lately begun for the workspace that waits; an old one counts less.
    double workspace_loads = 0;
};

/// A replica that serves nobody and that nobody waits for.
struct idle_replica
{
    server_id server;
    model_id model;
    mebibytes memory;
    nanoseconds idle{0};
    /// The smoothed time between uses; zero while unknown.
    nanoseconds mean_gap{0};
    /// How long it would take to load again.
    nanoseconds reload{0};
};

/// Example: `placement_planner<expected_use_policy>`.
template <class T>
concept placement_policy = requires(const T& policy, const load_candidate& a,
                                    const load_candidate& b, const idle_replica& x,
                                    const idle_replica& y, instant now)
{
    /// Whether a load that has to wait holds back those behind it.
    {
        T::head_of_line_blocking
        } -> std::convertible_to<bool>;
    /// Whether `a` goes before `b` at `now`.
    {
        policy.load_before(a, b, now)
        } -> std::same_as<bool>;
    /// Whether a load that would be ready at a time still helps; `now` stands for that time.
    {
        policy.is_useful(a, now)
        } -> std::same_as<bool>;
    /// How long an idle replica stays loaded.
    {
        policy.keep_alive(x)
        } -> std::same_as<nanoseconds>;
    /// Whether `x` makes room before `y`.
    {
        policy.evict_before(x, y)
        } -> std::same_as<bool>;
};

} // namespace banyanshunt
