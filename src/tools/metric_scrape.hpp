#pragma once

/// \file
/// Defines the reading of scraped metrics: Prometheus' text form, and increases of counters between
/// scrapes, because a replaced host begins again at zero.

#include <map>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// One sample's name with its labels sorted, such as `x_total{reason="deadline",run="not_run"}`.
using sample_name = std::string;

/// What one host told at one time.
struct metric_scrape
{
    /// On the scraper's clock, since its first scrape.
    seconds at{0};
    std::string host;
    std::map<sample_name, double> samples;
};

/// Reads the samples of a text; lines that are none are skipped.
std::map<sample_name, double> parse_metrics(const std::string& text);

/// Returns the value of a label in a sample's name, or empty text.
std::string label_of(const sample_name& name, const std::string& label);

/// The metric's name without labels.
std::string metric_of(const sample_name& name);

/// By how much each counter grew over all hosts between `from` and `get`. A counter that fell began
/// again at zero; a host's first scrape counts for nothing.
std::map<sample_name, double> increases(const std::vector<metric_scrape>& scrapes, seconds from,
                                        seconds to);

/// Writes scrapes so that `decode_scrapes` reads them again.
std::string encode_scrapes(const std::vector<metric_scrape>& scrapes);
std::vector<metric_scrape> decode_scrapes(const std::string& text);

} // namespace banyanshunt
