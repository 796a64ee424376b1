#pragma once

/// \file
/// The settings of an entry host; docs/SETTINGS.md is their reference.

#include <optional>

#include "entry/request_settings.hpp"
#include "entry/share_settings.hpp"
#include "entry/state_settings.hpp"
#include "protocol/peer_settings.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

struct entry_settings
{
    process_settings host;
    platform_settings platform;
    std::optional<peer_credentials> peer_keys;
    state_settings state;

    /// Address on which callers are served.
    std::string listen;
    /// Address on which peers are served over gRPC.
    std::string peer_listen;
    /// Address that serves /metrics, /ready and /state.
    std::string admin_listen;

    /// How many entry hosts share each workspace's rate and burst equally.
    int entry_hosts = 1;
    /// Limit of requests that wait for a replica at the same time.
    std::size_t max_waiting = 512;
    /// Limit of connections served at the same time.
    std::size_t threads = 256;
    /// Time limit until the first token, for a request that sets none.
    milliseconds deadline{30000};
    /// Longest time without a token before a connection to an engine is closed.
    milliseconds idle_timeout{2000};
    /// Longest time that a plain service may take to respond.
    milliseconds service_timeout{10000};
    /// How often demand is sent to placers while there is any.
    milliseconds demand_interval{50};
    /// How long a stopping host waits for running requests.
    milliseconds drain_timeout{60000};
    request_settings requests;
    share_settings shares;
};

/// Reads all settings; `file` collects the errors.
entry_settings read_entry_settings(settings_file& file);

} // namespace banyanshunt
