#pragma once

/// \file
/// The metrics of a daemon: counters, gauges and histograms by name, and the text served at
/// /metrics. Names and meanings are listed in docs/OPERATORS.md.

#include <memory>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// One label of a metric, such as {"reason", "over_rate"}.
struct metric_label
{
    std::string name;
    std::string value;
};

/// A registry of metrics; thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds `n` to a counter.
    void increment(const std::string& name, const std::vector<metric_label>& labels = {},
                   double n = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value, const std::vector<metric_label>& labels = {});
    /// Records a duration in a histogram, in seconds.
    void observe(const std::string& name, std::chrono::nanoseconds duration,
                 const std::vector<metric_label>& labels = {});

    /// The response body of /metrics, in the Prometheus text format.
    std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
