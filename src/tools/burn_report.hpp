#pragma once

/// \file
/// Defines the burn report: text for a terminal, JSON for programs, and one HTML page whose plots
/// are inline SVG, so that it opens without a network.

#include "tools/service_level.hpp"

namespace banyanshunt
{

struct objective_burn
{
    objective definition;
    /// One for each window, at the last scrape.
    std::vector<window_burn> windows;
    /// Burn in the shortest window over the run, one for each scrape's time.
    std::vector<std::pair<seconds, double>> history;
};

struct burn_report
{
    seconds length{0};
    std::vector<objective_burn> objectives;
};

burn_report make_burn_report(const objectives& asked, const std::vector<metric_scrape>& scrapes);

std::string burn_text(const burn_report& report);
std::string burn_json(const burn_report& report);
std::string burn_html(const burn_report& report);

} // namespace banyanshunt
