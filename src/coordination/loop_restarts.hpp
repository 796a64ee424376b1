#pragma once

/// \file
/// When a loop that ended by an exception is started again.
///
/// Made for two load patterns: a single input that a loop cannot handle, after which it has to go
/// on almost at once, and a cause that stays, which must neither keep the host busy nor fill its
/// log.

#include <algorithm>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct loop_restart_options
{
    /// Before the first restart; doubled with each further failure.
    milliseconds min_delay{50};
    /// Shorter than the bounds within which configuration and server list have to be confirmed.
    milliseconds max_delay{1600};
    /// A loop that ran for this long without a failure counts as one that never failed.
    milliseconds recovery_time{10000};
};

/// The failures of one loop.
class loop_restarts
{
public:
    explicit loop_restarts(const loop_restart_options& options = {})
        : options_(options), next_delay_(options.min_delay)
    {
    }

    /// Records that the loop, started at `started_at`, failed now; returns how long to wait until
    /// it is started again.
    milliseconds record_failure(instant started_at, instant now)
    {
        if (now - started_at >= options_.recovery_time)
        {
            next_delay_ = options_.min_delay;
        }
        milliseconds delay = next_delay_;
        next_delay_ = std::min(next_delay_ * 2, options_.max_delay);
        return delay;
    }

private:
    loop_restart_options options_;
    milliseconds next_delay_;
};

} // namespace banyanshunt
