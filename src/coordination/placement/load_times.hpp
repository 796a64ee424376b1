#pragma once

/// \file
/// Estimates how long a load takes, by the tier in which the checkpoint is cached. The estimate
/// follows the loads that this placer observed, so it reflects a slow weight store.

#include <array>

#include "coordination/model_engine.hpp"

namespace banyanshunt
{

/// Estimates used before any load was observed. With zero, no request is refused because of a load
/// time that was only guessed.
struct load_times_options
{
    milliseconds memory{0};
    milliseconds disk{0};
    milliseconds remote{0};
};

/// Used by one thread.
class load_times
{
public:
    explicit load_times(load_times_options options = {})
        : expected_{options.memory, options.disk, options.remote}
    {
    }

    /// Records that a load from `tier` took `duration`.
    void record(checkpoint_tier tier, nanoseconds duration)
    {
        // A new duration changes the estimate by a quarter of the difference.
        constexpr int smoothing = 4;
        nanoseconds& it = expected_[static_cast<std::size_t>(tier)];
        bool& seen = seen_[static_cast<std::size_t>(tier)];
        it = seen ? it + (duration - it) / smoothing : duration;
        seen = true;
    }

    nanoseconds expected(checkpoint_tier tier) const
    {
        return expected_[static_cast<std::size_t>(tier)];
    }

private:
    std::array<nanoseconds, 3> expected_;
    std::array<bool, 3> seen_{};
};

} // namespace banyanshunt
