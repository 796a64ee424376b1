#pragma once

/// \file
/// This host's share of the retry budget that all hosts share. It is made for a load pattern in
/// which many requests fail at once: without a bound their retries would add to the load that made
/// them fail.

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct shared_retry_budget_options
{
    /// Retries allowed per request.
    double ratio = 0.2;
    /// Additional retries allowed in each window, over all hosts.
    double extra = 20;
    milliseconds window{10000};
};

/// The retry budget for one service. Half of this host's share of the extra retries is available at
/// once and the other half accrues over a window, so no window allows more than the full share.
/// Retries that requests earn accumulate up to a fraction of what the requests of one window earn:
/// with many small hosts, the share of the extra retries is too small for the simultaneous retries
/// when one server fails.
class shared_retry_budget
{
public:
    shared_retry_budget(const shared_retry_budget_options& options, instant now)
        : options_(options), refilled_at_(now)
    {
    }

    /// Counts a request's first send.
    void record_request(std::size_t hosts, instant now);
    /// Acquires one retry; returns false if none is available.
    bool acquire(std::size_t hosts, instant now);

private:
    void refill(std::size_t hosts, instant now);
    double own_extra_retries(std::size_t hosts) const;
    double capacity(std::size_t hosts) const;

    shared_retry_budget_options options_;
    double available_ = 0;
    /// Exponentially decaying count of requests, with the window as its time constant.
    double recent_requests_ = 0;
    instant refilled_at_;
    bool initialized_ = false;
};

} // namespace banyanshunt
