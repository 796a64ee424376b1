#pragma once

/// \file
/// Defines the settings of keeping the state; section [state] of docs/SETTINGS.md.

#include "coordination/snapshot_schedule.hpp"
#include "protocol/settings_file.hpp"

namespace banyanshunt
{

struct state_settings
{
    snapshot_options snapshots;
    /// A peer that was not heard for this long does not count as live.
    milliseconds peer_timeout{2000};
    /// Addresses of peers to ask while none is known, in a list with commas.
    std::vector<std::string> seeds = {};
};

/// Reads section [state]; `file.mistakes()` then tells what is wrong.
state_settings read_state_settings(settings_file& file);

} // namespace banyanshunt
