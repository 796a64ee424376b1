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
    /// Until the load balancer has noticed the stop. Before, a caller that is refused may come to
    /// this host again, or to another one that stops, and it has few repeats.
    milliseconds balancer_delay{0};
    /// The fraction of recent runs that must have been short enough for a request to be begun in
    /// that time; later, all of them.
    double early_coverage = 0.9;
};

class planned_stop
{
public:
    explicit planned_stop(const planned_stop_options& options)
        : options_(options), deadline_(options.requested_at + options.grace - options.margin)
    {
    }

    instant requested_at() const { return options_.requested_at; }
    bool balancer_may_send(instant now) const
    {
        return now - options_.requested_at < options_.balancer_delay;
    }
    /// The fraction of recent runs that bounds how long a request may run which is begun now.
    double coverage(instant now) const
    {
        return balancer_may_send(now) ? options_.early_coverage : 1;
    }
    /// When the requests that still run are ended.
    instant deadline() const { return deadline_; }

    /// The latest time at which a request may be sent to a server. `run_bound` is how long it may
    /// run then, if that is known; `request_deadline` is when it gets its final answer in any case.
    instant latest_start(std::optional<nanoseconds> run_bound, instant request_deadline) const
    {
        if (request_deadline <= deadline_)
        {
            return request_deadline;
        }
        // An unknown duration may be as long as the request's deadline allows.
        return run_bound ? deadline_ - *run_bound : instant::min();
    }

private:
    planned_stop_options options_;
    instant deadline_;
};

} // namespace banyanshunt
