#pragma once

/// \file
/// Defines the settings of a placer; docs/SETTINGS.md is their reference.

#include <optional>

#include "protocol/peer_settings.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

struct placer_settings
{
    host_settings host;
    platform_settings platform;
    std::optional<peer_credentials> peer_keys;

    /// Where entry hosts reach this placer over gRPC.
    std::string peer_listen;
    /// Where /metrics is.
    std::string admin_listen;

    /// How long a read of the lease stream without a later claim lets a holder act.
    milliseconds lease_duration{3000};
    /// The longest time that an order can be under way to an engine.
    milliseconds max_order_delay{2000};
    /// How often what is kept in the log is written again; well under the log's retention.
    milliseconds refresh_after{600'000};
    /// How long a replica gets no requests before it is unloaded.
    milliseconds retire_grace{1000};
    /// How often engines are read back and orders planned.
    milliseconds interval{100};
};

/// Reads all settings; `file.mistakes()` then tells what is wrong.
placer_settings read_placer_settings(settings_file& file);

} // namespace banyanshunt
