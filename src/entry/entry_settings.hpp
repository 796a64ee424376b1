#pragma once

/// \file
/// Defines the settings of an entry host; docs/SETTINGS.md is their reference.

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
    host_settings host;
    platform_settings platform;
    std::optional<peer_credentials> peer_keys;
    state_settings state;

    /// Where callers come in.
    std::string listen;
    /// Where peers reach this process over gRPC.
    std::string peer_listen;
    /// Where /metrics, /ready and /state are.
    std::string admin_listen;

    /// How many entry hosts share each workspace's rate and burst equally.
    int entry_hosts = 1;
    /// Requests that may wait for a replica at once.
    std::size_t max_waiting = 512;
    /// Connections served at once.
    std::size_t threads = 256;
    /// Deadline of a request that names none, until its first token.
    milliseconds deadline{30000};
    /// The longest time without a token before a connection to an engine is given up.
    milliseconds idle_timeout{2000};
    /// The longest time that a plain service may take.
    milliseconds service_timeout{10000};
    /// How often needs are told to placers while there are any.
    milliseconds demand_interval{50};
    /// How long a stop waits for running requests.
    milliseconds drain_timeout{60000};
    request_settings requests;
    share_settings shares;
};

/// Reads all settings; `file.mistakes()` then tells what is wrong.
entry_settings read_entry_settings(settings_file& file);

} // namespace banyanshunt
