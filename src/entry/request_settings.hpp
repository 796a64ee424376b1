#pragma once

/// \file
/// Defines the settings of a request's life on an entry host; docs/REQUESTS.md tells what they do.

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

struct request_settings
{
    /// Requests that a replica takes at once; further ones wait here, in fair order.
    int slots_per_replica = 32;
    /// Retries for each hundred requests.
    int retry_percent = 10;
    /// This host's part of the log's appends a second for claims on idempotency keys.
    int claim_append_rate = 30;
    /// How long a call waits for its claim.
    milliseconds claim_timeout{2000};
    /// How long a stopping host takes requests on after it said that it is not ready.
    milliseconds drain_delay{200};
};

request_settings read_request_settings(settings_file& file);

} // namespace banyanshunt
