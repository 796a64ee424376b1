#pragma once

/// \file
/// The settings of the state subsystem; section [state] of docs/SETTINGS.md.

#include "coordination/snapshot_schedule.hpp"
#include "protocol/settings_file.hpp"

namespace banyanshunt
{

struct state_settings
{
    snapshot_options snapshots;
    /// A peer whose last heartbeat is older than this does not count as live.
    milliseconds peer_timeout{2000};
    /// Addresses of peers to query while none is known; comma-separated in the file.
    std::vector<std::string> seeds = {};
};

/// Reads section [state]; `file` collects the errors.
state_settings read_state_settings(settings_file& file);

} // namespace banyanshunt
