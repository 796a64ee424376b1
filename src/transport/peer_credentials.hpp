#pragma once

/// \file
/// Reads the key files that the settings name.

#include "protocol/peer_settings.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// Returns nothing for plaintext connections. Reports a file that cannot be read as an error in
/// `file`.
std::optional<peer_credentials> read_peer_credentials(const peer_settings& settings,
                                                      settings_file& file);

} // namespace banyanshunt
