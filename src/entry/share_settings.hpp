#pragma once

/// \file
/// The settings of the owned shares; docs/SETTINGS.md is their reference.

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

/// Section [shares].
struct share_settings
{
    /// "owned" shares move by loans; "fixed" ones are equal fractions over `entry_hosts`, which
    /// a replaced host begins full, above the workspace's burst.
    std::string policy = "owned";
    /// How many failure domains there are. Must be the same on every host of the fleet: each
    /// domain owns this fraction of every rate and burst.
    int domains = 1;
    /// How long a lease lasts after a read of the log, or after the promises of the other members.
    milliseconds lease_duration{3000};
    /// How long a host may use its share without the log.
    milliseconds max_outage{600'000};
    /// How long a borrower may spend a loan.
    milliseconds loan_duration{2000};
    /// Longest wait for a peer's response.
    milliseconds call_timeout{200};
    /// Longest time that a stopping host waits until it has resigned its share.
    milliseconds resign_timeout{4000};
};

share_settings read_share_settings(settings_file& file);

} // namespace banyanshunt
