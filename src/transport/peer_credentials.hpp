#pragma once

/// \file
/// Defines the reading of the key files that the settings name.

#include "protocol/peer_settings.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// Returns nothing for plain connections; a file that cannot be read is noted as a mistake.
std::optional<peer_credentials> read_peer_credentials(const peer_settings& settings,
                                                      settings_file& file);

} // namespace banyanshunt
