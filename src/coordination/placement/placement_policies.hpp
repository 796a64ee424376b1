#pragma once

/// \file
/// The placement policy in use, `expected_use_policy`, and the baselines that it is measured
/// against. docs/PLACEMENT.md has the comparison.

#include "coordination/placement/placement_policy.hpp"

namespace banyanshunt
{

/// First come, first served, with one keep-alive for all; evicts the longest idle replica first.
class fifo_policy
{
public:
    static constexpr bool head_of_line_blocking = true;

    explicit fifo_policy(milliseconds keep_alive = milliseconds(60'000)) : keep_alive_(keep_alive)
    {
    }

    bool load_before(const load_candidate& a, const load_candidate& b, instant now) const;
    bool is_useful(const load_candidate&, instant) const { return true; }
    nanoseconds keep_alive(const idle_replica&) const { return keep_alive_; }
    bool evict_before(const idle_replica& x, const idle_replica& y) const;

private:
    milliseconds keep_alive_;
};

/// Like `fifo_policy`, but evicts idle replicas in the order of their model ids.
class unordered_eviction_policy : public fifo_policy
{
public:
    using fifo_policy::fifo_policy;

    bool evict_before(const idle_replica& x, const idle_replica& y) const
    {
        return x.model < y.model;
    }
};

struct expected_use_options
{
    /// How many mean gaps an idle replica is kept, when the gap is known.
    int gaps_kept = 3;
    milliseconds min_keep_alive{5000};
    milliseconds max_keep_alive{90'000};
    /// How long an idle replica is kept while the gap is unknown.
    milliseconds default_keep_alive{60'000};
};

/// Orders loads by the number of waiting requests per second of loading, and starts none that would
/// be ready after the last deadline. Keeps idle replicas while their next use is expected soon, and
/// evicts the one with the lowest expected reload cost first.
class expected_use_policy
{
public:
    static constexpr bool head_of_line_blocking = false;

    explicit expected_use_policy(expected_use_options options = {}) : options_(options) {}

    bool load_before(const load_candidate& a, const load_candidate& b, instant now) const;
    bool is_useful(const load_candidate& it, instant ready_at) const
    {
        return ready_at <= it.demand.last_deadline;
    }
    nanoseconds keep_alive(const idle_replica& it) const;
    bool evict_before(const idle_replica& x, const idle_replica& y) const;

private:
    expected_use_options options_;
};

static_assert(placement_policy<fifo_policy>);
static_assert(placement_policy<unordered_eviction_policy>);
static_assert(placement_policy<expected_use_policy>);

} // namespace banyanshunt
