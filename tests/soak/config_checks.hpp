#pragma once

/// \file
/// Checks the platform's rules on configurations from what callers saw of routes that were added,
/// moved, split and removed.

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "soak/soak_callers.hpp"

namespace banyanshunt::soak
{

/// A published version of the routes that are probed.
struct route_version
{
    int version = 0;
    /// The services that may run the requests of each prefix.
    std::map<std::string, std::set<std::string>> services;
    steady_instant sent;
    steady_instant acknowledged;
};

/// A request sent straight to one host.
struct route_probe
{
    std::size_t host = 0;
    std::string id;
    std::string prefix;
    steady_instant sent;
    steady_instant ended = {};
    /// 0 if the connection ended without a whole response.
    int status = 0;
    /// The service that ran it; empty for none.
    std::string service = {};
};

/// A fault of one host, or of the store.
struct config_disturbance
{
    /// Nothing for the store.
    std::optional<std::size_t> host = {};
    steady_instant from = {};
    steady_instant to = {};
    /// The store was away or slow, or lost responses.
    bool stops_store = false;
    /// The host's process ended.
    bool ends_process = false;
};

struct config_bounds
{
    std::chrono::milliseconds apply{2000};
    std::chrono::milliseconds rollback_slack{250};
    std::chrono::milliseconds contact{3000};
    std::chrono::milliseconds max_stretch{5000};
};

struct config_findings
{
    /// One line for each probe that broke a rule.
    std::vector<std::string> violations;
    std::size_t judged = 0;
    /// How long after its acknowledgement a version was not in force on a host in touch, at most,
    /// while the store was stable.
    std::chrono::milliseconds longest{0};
};

/// `versions` in the order of their publication; probes in any order.
config_findings check_configurations(const std::vector<route_version>& versions,
                                     std::vector<route_probe> probes,
                                     const std::vector<config_disturbance>& disturbances,
                                     const config_bounds& bounds = {});

} // namespace banyanshunt::soak
