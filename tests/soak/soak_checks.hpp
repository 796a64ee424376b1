#pragma once

/// \file
/// The promises that a soak run checks, from what callers and backend servers saw.

#include <map>

#include "soak/soak_callers.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

struct soak_history
{
    /// When a key stopped being in any configuration.
    std::map<std::string, steady_instant> withdrawn;
    /// From when on everything works again.
    steady_instant recovered;
    /// Only planned work came: stops, reloads and changes of the configuration.
    bool planned_only = false;
};

/// What was broken, a line each; empty if nothing was.
std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const soak_fleet& fleet, const soak_history& history);

} // namespace banyanshunt::soak
