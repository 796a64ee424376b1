#pragma once

/// \file
/// Checks the guarantees of a soak run against the records of callers and backend servers.

#include <map>

#include "soak/soak_callers.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

struct soak_history
{
    /// When each withdrawn key was removed from the configuration.
    std::map<std::string, steady_instant> withdrawn;
    /// The time from which every component must work again.
    steady_instant recovered;
    /// Whether the run had planned work only: stops, reloads and configuration changes.
    bool planned_only = false;
};

/// Returns one line for each violation; empty if there is none.
std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const soak_fleet& fleet, const soak_history& history);

} // namespace banyanshunt::soak
