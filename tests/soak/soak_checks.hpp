#pragma once

/// \file
/// Checks the guarantees of a soak run against the records of callers and backend servers.

#include <map>
#include <vector>

#include "soak/soak_callers.hpp"
#include "soak/soak_fleet.hpp"

namespace banyanshunt::soak
{

/// A limit that a backend server began to state, or ceased to: negative for none.
struct stated_limit
{
    std::size_t backend = 0;
    steady_instant at;
    double per_second = -1;
};

/// When a host was started, stopped, killed, paused or resumed.
struct host_disturbance
{
    std::size_t host = 0;
    steady_instant at;
    bool resumed = false;
};

/// A change of the link between all hosts and a backend server: a fault of it, or its end.
struct link_change
{
    std::size_t backend = 0;
    steady_instant at;
    bool faulty = false;
    /// Whether the change ended a delay.
    bool ended_delay = false;
};

struct soak_history
{
    steady_instant begun;
    /// When each withdrawn key was removed from the configuration.
    std::map<std::string, steady_instant> withdrawn;
    /// When the last server was announced, after the last odd records.
    steady_instant late_server_made;
    /// The time from which every component must work again.
    steady_instant recovered;
    /// The limits that backend servers stated, in order.
    std::vector<stated_limit> limits;
    std::vector<host_disturbance> host_disturbances;
    /// In order.
    std::vector<link_change> link_changes;
    /// Whether the run had planned work only: stops, reloads and configuration changes,
    /// beside servers that fall silent and go on.
    bool planned_only = false;
};

/// Returns one line for each violation; empty if there is none.
std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const soak_fleet& fleet, const soak_history& history);

} // namespace banyanshunt::soak
