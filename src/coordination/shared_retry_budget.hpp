#pragma once

/// \file
/// Defines this host's part of the budget of repeats that all hosts share. It answers the pattern
/// in which many requests fail at once: without a bound their repeats would add to the load that
/// made them fail.

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct shared_retry_budget_options
{
    /// Repeats allowed for each request.
    double ratio = 0.2;
    /// Repeats allowed besides in each window, over all hosts.
    double extra = 20;
    milliseconds window{10000};
};

/// The budget towards one service. Half of this host's part of the extra repeats is there at once,
/// the other half comes over a window, so no window holds more than the whole. What requests earn
/// is kept up to a part of what those of one window earn: on many small hosts the part of the extra
/// repeats is too small to hold the repeats that come together when one server fails.
class shared_retry_budget
{
public:
    shared_retry_budget(const shared_retry_budget_options& options, instant now)
        : options_(options), filled_at_(now)
    {
    }

    /// Counts a request's first send.
    void record_request(std::size_t hosts, instant now);
    /// Takes one repeat; false if there is none.
    bool acquire(std::size_t hosts, instant now);

private:
    void refill(std::size_t hosts, instant now);
    double own_extra(std::size_t hosts) const;
    double most(std::size_t hosts) const;

    shared_retry_budget_options options_;
    double left_ = 0;
    /// Requests of the last window, decaying.
    double recent_ = 0;
    instant filled_at_;
    bool begun_ = false;
};

} // namespace banyanshunt
