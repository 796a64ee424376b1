#pragma once

/// \file
/// What a host that was asked to stop may still begin.
///
/// Made for a load pattern in which requests keep arriving while a host stops, and some of them run
/// for longer than what remains of the grace period, and than any run before: such a request is
/// refused at once, so that its caller can go to another host with all of its time. Recent runs
/// estimate how long one takes and do not bound it, as its server may be busier than theirs or fall
/// silent for a while; only the request's own deadline does.

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
    /// Until the load balancer has noticed the stop. Before, this host gets its full part of the
    /// callers, and those it refuses may come to another one that stops and have few repeats: a
    /// request that probably ends in time is begun. Later, only one that surely does.
    milliseconds balancer_delay{0};
    /// How probably, as a fraction of recent runs.
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
    /// The fraction of recent runs by which a run is estimated.
    double coverage() const { return options_.early_coverage; }
    /// When the requests that still run are ended.
    instant deadline() const { return deadline_; }

    /// The latest time at which a request may be sent to a server. `run_estimate` is how long it
    /// probably runs then, if that is known; `request_deadline` is when it gets its final answer in
    /// any case.
    instant latest_start(std::optional<nanoseconds> run_estimate, instant request_deadline) const
    {
        if (request_deadline <= deadline_)
        {
            return request_deadline;
        }
        if (!run_estimate)
        {
            return instant::min();
        }
        instant balancer_noticed = options_.requested_at + options_.balancer_delay;
        return std::min(deadline_ - *run_estimate, balancer_noticed);
    }

private:
    planned_stop_options options_;
    instant deadline_;
};

} // namespace banyanshunt
