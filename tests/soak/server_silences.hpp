#pragma once

/// \file
/// Silences of the backend servers of a soak run.

#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>

#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

/// Lets servers send nothing for a time and go on, until asked to stop: one or several, one after
/// the other or at once. The same seed gives the same silences.
void silence_servers(soak_fleet& fleet, std::uint64_t seed, const std::stop_token& stop,
                     const std::function<void(const std::string&)>& log);

} // namespace banyanshunt::soak
