#pragma once

/// \file
/// The settings that an entry host reads at start.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/backend_entry.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// The bounds that this deployment guarantees.
struct slo_bounds
{
    /// A withdrawn key stops working on every host within this time, or the host refuses keys.
    milliseconds key_revocation{5000};
    bool refuse_when_stale = true;
    /// A ticket is applied within this time.
    milliseconds ticket_apply{2000};
    /// A leaving server gets no new requests after this time.
    milliseconds drain{2000};
    /// The time from the request to stop until the process is killed.
    milliseconds stop_grace{8000};
    /// The minimum time between the orders of two hosts to one server.
    milliseconds lease{3000};
    /// How long after it was sent an engine may carry out an order that got no response. Source:
    /// the list of troubles that the platform's operators inject, 2 to 12 s.
    milliseconds order_delay{12000};
    /// Retries allowed for each request, over all hosts, and additional retries allowed in a
    /// window.
    double retry_ratio = 0.2;
    double retry_extra = 20;
    milliseconds retry_window{10000};
    /// Window and factor of the bound on loads from the weight store.
    milliseconds load_window{5000};
    double load_rate_factor = 1.1;
    /// No request reaches a server of an evacuated failure domain after this time; 0 if the
    /// deployment states none.
    milliseconds evacuation{0};
    /// A cold server gets at most what its service states, times this factor, and these more in any
    /// second, over all hosts.
    double cold_factor = 1;
    double cold_extra = 0;
};

/// The address and limits of the platform's log service.
struct log_settings
{
    endpoint_text address;
    int partitions = 1;
    milliseconds min_lease{1000};
    /// How long records are retained; 0 if the platform does not say.
    milliseconds retention{0};
};

struct host_settings
{
    host_id name;
    /// The port of /metrics on the host's own address; 9464 is the usual port of exporters.
    int metrics_port = 9464;
    domain_id domain;
    /// All failure domains of the deployment; empty if the settings name none.
    std::set<domain_id> domains;
    std::string ip;
    endpoint_text caller_address;
    endpoint_text ready_address;
    /// The range of ports for traffic between entry hosts.
    int first_peer_port = 0;
    int last_peer_port = 0;
    std::size_t max_descriptors = 1024;
    std::size_t memory_mb = 256;
    /// The number or fraction of CPU cores that this host may use.
    double cores = 1;
    /// Whether requests are spread over servers with regard to what other hosts probably send,
    /// rather than to the least loaded server by the last reports.
    bool spread_load = true;
    /// Parts of prompts that operators know to be sound; they are never banned.
    std::vector<prompt_part> sound_parts;
    slo_bounds bounds;
    log_settings log;
};

} // namespace banyanshunt
