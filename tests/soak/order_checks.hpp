#pragma once

/// \file
/// Checks the platform's rule on orders to model engines from what the engines received, by the
/// time of arrival and by the time at which they were carried out.

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "soak/soak_fleet.hpp"
#include "tools/engine_timeline.hpp"

namespace banyanshunt::soak
{

/// The faults of a run that excuse orders which arrive shortly afterwards.
struct order_disturbances
{
    std::chrono::steady_clock::time_point begun;
    /// The time of day when the steady clock was at zero.
    std::chrono::nanoseconds unix_offset{0};
    /// When each host was resumed, by its name.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> resumed;
    /// When the link to each backend server went on after it had held data up, by its index.
    std::map<std::size_t, std::vector<std::chrono::steady_clock::time_point>> restored_links;
    /// When each host was replaced by another machine of its name.
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> replaced = {};
};

struct order_findings
{
    /// One line for each order that broke the rule.
    std::vector<std::string> violations;
    /// How many orders broke the rule, by what was broken and by the time that counted.
    std::map<std::string, std::size_t> counts;
    std::size_t judged = 0;
    std::size_t excused = 0;
    /// Orders that got no response and were carried out later.
    std::size_t late = 0;
    /// Orders whose number of expected orders was out of date.
    std::size_t refused = 0;
    /// What the engines received, as lines of a log, and the pairs of them that broke the rule.
    std::vector<std::string> record;
    std::vector<engine_breach> breaches;
};

order_findings check_orders(const soak_fleet& fleet, const order_disturbances& history);

/// Writes the engines' record beside the hosts' logs in `folder`, and returns the timelines of the
/// first `most` pairs.
std::vector<std::string> explain_orders(const soak_fleet& fleet, const order_findings& findings,
                                        const order_disturbances& history,
                                        const std::string& folder, std::size_t most);

} // namespace banyanshunt::soak
