#pragma once

/// \file
/// The checks of a soak run on what hosts send to a server that states limits, pauses or that it
/// leaves.

#include <map>
#include <string>
#include <vector>

#include "soak/soak_checks.hpp"

namespace banyanshunt::soak
{

using calls_by_id = std::map<std::string, const call_record*>;

/// Windows in which a server got more requests than the limit that it stated allows.
void check_limits(const soak_fleet& fleet, const soak_history& history,
                  std::vector<std::string>& violations);
/// Requests that reached a server later than the bound after their host knew that it leaves.
void check_leaving(const calls_by_id& calls, const soak_fleet& fleet, const soak_history& history,
                   std::vector<std::string>& violations);
/// Requests to a server in a pause that it stated, beyond those that the bound allows.
void check_pauses(const calls_by_id& calls, const soak_fleet& fleet, const soak_history& history,
                  std::vector<std::string>& violations);

} // namespace banyanshunt::soak
