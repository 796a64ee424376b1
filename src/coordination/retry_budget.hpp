#pragma once

/// \file
/// The retry budget: without it, simultaneous retries of many requests would add to the load that
/// made the first attempts fail. Pure.

#include <algorithm>
#include <cstdint>

#include "coordination/random_source.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Allows retries as a fixed percentage of requests, with a small reserve.
class retry_budget
{
public:
    struct options
    {
        /// Retries per hundred requests.
        int percent = 10;
        /// Retries that a host without recent requests may make at once.
        int reserve = 10;
    };

    explicit retry_budget(const options& limits)
        : percent_(limits.percent), capacity_(limits.reserve * units_per_retry),
          available_(capacity_)
    {
    }

    /// Counts a first attempt.
    void record_request() { available_ = std::min(available_ + percent_, capacity_); }

    /// Acquires one retry from the budget; returns false if none is available.
    bool acquire()
    {
        if (available_ < units_per_retry)
        {
            return false;
        }
        available_ -= units_per_retry;
        return true;
    }

private:
    static constexpr int units_per_retry = 100;

    int percent_;
    int capacity_;
    int available_;
};

/// Returns the pause before retry number `attempt`, counted from 1: drawn at random from a range
/// that doubles with each attempt.
template <random_source Random>
milliseconds retry_backoff(int attempt, Random& random)
{
    constexpr std::int64_t base_range_ms = 4;
    constexpr int max_doublings = 6;
    std::int64_t range = base_range_ms << std::min(attempt, max_doublings);
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, range)(random));
}

} // namespace banyanshunt
