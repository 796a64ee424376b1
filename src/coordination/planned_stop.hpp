#pragma once

/// \file
/// What a host that was asked to stop may still begin.
///
/// Made for a load pattern in which requests keep arriving on open connections while a host stops,
/// and some of them run for longer than what remains of the grace period: such a request is refused
/// at once, so that its caller can go to another host with all of its time.

#include <algorithm>
#include <optional>

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct planned_stop_options
{
    instant requested_at;
    /// From the request to stop until the process is killed.
    milliseconds grace{0};
    /// The part of the grace period that is kept for the last responses to reach their callers.
    milliseconds margin{0};
};

class planned_stop
{
public:
    explicit planned_stop(const planned_stop_options& options)
        : requested_at_(options.requested_at),
          deadline_(options.requested_at + options.grace - options.margin)
    {
    }

    instant requested_at() const { return requested_at_; }
    /// When the requests that still run are ended.
    instant deadline() const { return deadline_; }

    /// The latest time at which a request may be sent to a server. `longest_run` is how long it may
    /// run then, if that is known; `request_deadline` is when it gets its final answer in any case.
    instant latest_start(std::optional<nanoseconds> longest_run, instant request_deadline) const
    {
        if (request_deadline <= deadline_)
        {
            return request_deadline;
        }
        // An unknown duration may be as long as the request's deadline allows.
        return longest_run ? deadline_ - *longest_run : instant::min();
    }

private:
    instant requested_at_;
    instant deadline_;
};

} // namespace banyanshunt
