#pragma once

/// \file
/// Defines the budget of retries, because retries of many requests at once would add their own load
/// to what made the first ones fail. Pure.

#include <algorithm>
#include <cstdint>

#include "coordination/random_source.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Retries may be a fixed share of requests, with a small reserve.
class retry_budget
{
public:
    struct options
    {
        /// Retries for each hundred requests.
        int percent = 10;
        /// Retries that a quiet host may make at once.
        int reserve = 10;
    };

    explicit retry_budget(const options& given)
        : percent_(given.percent), most_(given.reserve * whole), left_(most_)
    {
    }

    /// Counts a first attempt.
    void record_request() { left_ = std::min(left_ + percent_, most_); }

    /// Takes one retry from the budget; returns false when there is none.
    bool acquire()
    {
        if (left_ < whole)
        {
            return false;
        }
        left_ -= whole;
        return true;
    }

private:
    static constexpr int whole = 100;

    int percent_;
    int most_;
    int left_;
};

/// The pause before retry number `attempt`, the first being 1: drawn from a range that doubles.
template <random_source Random>
milliseconds retry_backoff(int attempt, Random& random)
{
    constexpr std::int64_t first_range_ms = 4;
    constexpr int most_doublings = 6;
    std::int64_t range = first_range_ms << std::min(attempt, most_doublings);
    return milliseconds(std::uniform_int_distribution<std::int64_t>(1, range)(random));
}

} // namespace banyanshunt
