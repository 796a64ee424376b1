#pragma once

/// \file
/// The settings of a placer; docs/SETTINGS.md is their reference.

#include <optional>

#include "protocol/peer_settings.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

struct placer_settings
{
    process_settings host;
    platform_settings platform;
    std::optional<peer_credentials> peer_keys;

    /// The listen address for gRPC calls from entry hosts and other placers.
    std::string peer_listen;
    /// The listen address of the admin server, which serves /metrics.
    std::string admin_listen;

    /// How long after a read of the lease stream that shows no later claim a holder may send
    /// orders.
    milliseconds lease_duration{3000};
    /// How long after it was sent an order without a response may be carried out.
    milliseconds max_order_delay{12'000};
    /// How often the current records are written to the log again; must be well under its
    /// retention.
    milliseconds refresh_after{600'000};
    /// How long a replica gets no requests before it is unloaded.
    milliseconds retire_grace{1000};
    /// How often engines are read back and orders planned.
    milliseconds interval{100};
};

/// Reads all settings; `file.mistakes()` then lists the invalid ones.
placer_settings read_placer_settings(settings_file& file);

} // namespace banyanshunt
