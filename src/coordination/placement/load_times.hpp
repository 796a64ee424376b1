#pragma once

/// \file
/// Defines the estimate of how long a load takes, by where the checkpoint is cached; learned from
/// the loads that this placer saw, so that a slow weight store shows in it.

#include <array>

#include "coordination/model_engine.hpp"

namespace banyanshunt
{

/// What is expected before any load was seen. Zero refuses nobody for a time that is only a guess.
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

    /// Notes that a load from `tier` took `duration`.
    void record(checkpoint_tier tier, nanoseconds duration)
    {
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
