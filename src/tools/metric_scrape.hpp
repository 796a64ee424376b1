#pragma once

/// \file
/// Parses metrics in the Prometheus text format and computes counter increases between scrapes. It
/// handles counter resets, because a replaced host starts again at zero.

#include <map>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// One sample's name with its labels sorted, such as `x_total{reason="deadline",run="not_run"}`.
using sample_name = std::string;

/// The metrics of one host at one time.
struct metric_scrape
{
    /// Time since the first scrape, on the scraper's clock.
    seconds at{0};
    std::string host;
    std::map<sample_name, double> samples;
};

/// Parses the samples in `text`; skips lines that are not samples.
std::map<sample_name, double> parse_metrics(const std::string& text);

/// Returns the value of a label in a sample's name, or an empty string.
std::string label_of(const sample_name& name, const std::string& label);

/// The metric's name without labels.
std::string metric_of(const sample_name& name);

/// Returns the increase of each counter between `from` and `to`, summed over all hosts. A counter
/// that decreased was reset to zero; the first scrape of a host is only a baseline.
std::map<sample_name, double> increases(const std::vector<metric_scrape>& scrapes, seconds from,
                                        seconds to);

/// Serializes scrapes in the format that `decode_scrapes` reads.
std::string encode_scrapes(const std::vector<metric_scrape>& scrapes);
std::vector<metric_scrape> decode_scrapes(const std::string& text);

} // namespace banyanshunt
