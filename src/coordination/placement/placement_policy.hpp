#pragma once

/// \file
/// The concept of a placement policy. A policy chooses which load goes first, whether a load is
/// worth starting, how long an idle replica is kept, and which idle replica is evicted first. The
/// code that upholds the placement guarantees is outside, so that no policy can break one.

#include "coordination/model_engine.hpp"
#include "coordination/replica_demand.hpp"

namespace banyanshunt
{

/// A load that could be started for a demand.
struct load_candidate
{
    replica_demand demand;
    /// When the demand was first seen.
    instant since;
    /// The tier in which the server has the checkpoint.
    checkpoint_tier tier = checkpoint_tier::remote;
    nanoseconds duration{0};
    /// Loads recently started for the demanding workspace, with older ones weighted less.
    double workspace_loads = 0;
};

/// A replica that runs no request and whose model no request waits for.
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
    /// Whether a load that has to wait delays the loads behind it.
    {
        T::head_of_line_blocking
        } -> std::convertible_to<bool>;
    /// Whether `a` goes before `b` at `now`.
    {
        policy.load_before(a, b, now)
        } -> std::same_as<bool>;
    /// Whether a load still helps if it is ready at the given time.
    {
        policy.is_useful(a, now)
        } -> std::same_as<bool>;
    /// How long an idle replica stays loaded.
    {
        policy.keep_alive(x)
        } -> std::same_as<nanoseconds>;
    /// Whether `x` is evicted before `y`.
    {
        policy.evict_before(x, y)
        } -> std::same_as<bool>;
};

} // namespace banyanshunt
