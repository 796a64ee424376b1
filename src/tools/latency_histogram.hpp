#pragma once

/// \file
/// Defines a log-linear histogram of durations, because percentiles of a long run must cost bounded
/// memory and keep their tail exact to a known fraction, which fixed buckets do not.

#include <cstdint>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// Counts durations with a relative error of at most 1/32, from a microsecond to hours.
class latency_histogram
{
public:
    latency_histogram();

    /// Counts one duration; a negative one counts as zero.
    void add(nanoseconds duration);
    /// Adds all that `other` has counted.
    void merge(const latency_histogram& other);

    std::int64_t count() const { return count_; }
    /// The largest duration counted, exactly; zero before the first.
    nanoseconds largest() const { return largest_; }
    /// The upper bound of the bucket that holds the quantile `q` of [0, 1], never above `largest`.
    nanoseconds quantile(double q) const;

private:
    std::vector<std::int64_t> buckets_;
    std::int64_t count_ = 0;
    nanoseconds largest_{0};
};

} // namespace banyanshunt
