#pragma once

/// \file
/// A log-linear histogram of durations. It needs bounded memory for a run of any length and keeps
/// tail percentiles within a known relative error, which fixed buckets do not.

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

    /// Adds one duration; a negative one counts as zero.
    void add(nanoseconds duration);
    /// Adds all counts of `other`.
    void merge(const latency_histogram& other);

    std::int64_t count() const { return count_; }
    /// The exact largest duration added; zero if there is none.
    nanoseconds largest() const { return largest_; }
    /// The upper bound of the bucket that holds the quantile `q` in [0, 1], at most `largest()`.
    nanoseconds quantile(double q) const;

private:
    std::vector<std::int64_t> buckets_;
    std::int64_t count_ = 0;
    nanoseconds largest_{0};
};

} // namespace banyanshunt
