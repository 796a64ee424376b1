#pragma once

/// \file
/// The settings of request handling on an entry host; docs/REQUESTS.md describes them.

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

struct request_settings
{
    /// Requests that a replica runs at the same time; further ones wait here, in fair order.
    int slots_per_replica = 32;
    /// Retries for each hundred requests.
    int retry_percent = 10;
    /// Appends per second to the log that this host may use for claims on idempotency keys.
    int claim_append_rate = 30;
    /// How long a call waits for its claim.
    milliseconds claim_timeout{2000};
    /// How long a stopping host still accepts requests after it reported that it is not ready.
    milliseconds drain_delay{200};
};

request_settings read_request_settings(settings_file& file);

} // namespace banyanshunt
