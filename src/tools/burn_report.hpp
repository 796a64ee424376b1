#pragma once

/// \file
/// The burn-rate report of service-level objectives as text, JSON and a single HTML page. The
/// page's plots are inline SVG, so it opens without network access.

#include "tools/service_level.hpp"

namespace banyanshunt
{

struct objective_burn
{
    objective definition;
    /// One entry per window, each ending at the last scrape.
    std::vector<window_burn> windows;
    /// Burn rate in the shortest window at the time of each scrape.
    std::vector<std::pair<seconds, double>> history;
};

struct burn_report
{
    seconds length{0};
    std::vector<objective_burn> objectives;
};

burn_report make_burn_report(const objectives& requested,
                             const std::vector<metric_scrape>& scrapes);

std::string burn_text(const burn_report& report);
std::string burn_json(const burn_report& report);
std::string burn_html(const burn_report& report);

} // namespace banyanshunt
