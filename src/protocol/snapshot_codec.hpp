#pragma once

/// \file
/// The encoding of snapshots in the log and of their index.

#include "coordination/snapshot_store.hpp"

namespace banyanshunt
{

/// The codec that every host uses.
const snapshot_codec& json_snapshot_codec();

} // namespace banyanshunt
