#pragma once

/// \file
/// Defines the settings of the owned shares; docs/SETTINGS.md is their reference.

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

/// Section [shares].
struct share_settings
{
    /// "owned" shares move by loans; "fixed" ones are equal parts over `entry_hosts`, which a
    /// replaced host begins full, above the workspace's burst.
    std::string policy = "owned";
    /// How many failure domains there are. Must be the same on every host of the fleet: each
    /// domain owns this part of every rate and burst.
    int domains = 1;
    /// How long a read of the log, or the promises of the other members, last.
    milliseconds lease{3000};
    /// How long a host may use its share without the log.
    milliseconds outage{600'000};
    /// How long a borrower may spend a loan.
    milliseconds loan{2000};
    /// The longest wait for a peer's answer.
    milliseconds call_limit{200};
    /// The longest that a stop waits to give up the share in order.
    milliseconds resign_limit{4000};
};

share_settings read_share_settings(settings_file& file);

} // namespace banyanshunt
