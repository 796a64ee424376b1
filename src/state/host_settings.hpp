#pragma once

/// \file
/// Defines what an entry host learns of itself at start.

#include <map>
#include <string>
#include <vector>

#include "state/backend_entry.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// The promises that this deployment states as figures.
struct slo_bounds
{
    /// A withdrawn key stops working everywhere within this time, or the host refuses keys.
    milliseconds key_revocation{5000};
    bool refuse_when_stale = true;
    /// A ticket is in force within this time.
    milliseconds ticket_apply{2000};
    /// A leaving server gets no new request after this time.
    milliseconds drain{2000};
    /// From the request to stop to the kill.
    milliseconds stop_grace{8000};
    /// Two hosts that order one server are at least this far apart.
    milliseconds lease{3000};
    /// Repeats allowed for each request, over all hosts, and those allowed besides in a window.
    double retry_ratio = 0.2;
    double retry_extra = 20;
    milliseconds retry_window{10000};
    /// Window, factor and slack of the bound on loads from the weight store.
    milliseconds load_window{5000};
    double load_rate_factor = 1.1;
};

/// The platform's log service: where it is and what it takes.
struct log_settings
{
    endpoint_text address;
    int partitions = 1;
    milliseconds min_lease{1000};
};

struct host_settings
{
    host_id name;
    /// Of /metrics on the host's own address; 9464 is the usual port of exporters.
    int metrics_port = 9464;
    domain_id domain;
    std::string ip;
    endpoint_text caller_address;
    endpoint_text ready_address;
    /// Ports free for traffic between entry hosts.
    int first_peer_port = 0;
    int last_peer_port = 0;
    std::size_t max_descriptors = 1024;
    std::size_t memory_mb = 256;
    /// The share of a core that this host has.
    double cores = 1;
    slo_bounds bounds;
    log_settings log;
};

} // namespace banyanshunt
