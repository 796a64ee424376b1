#pragma once

/// \file
/// Defines one trial of a policy for shares: an open load on all hosts under a test clock, judged
/// by a single bucket of each workspace's rate and burst that every grant on every host is charged
/// to. A refusal was within rate if that bucket held enough at that moment.

#include <cstdint>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

enum class share_policy
{
    /// Owned shares with loans.
    owned,
    /// The same shares without loans, which is what fixed equal shares are.
    fixed,
    /// Each workspace's whole bucket at one host, asked by the others.
    centralized,
};

const char* to_string(share_policy policy);

struct trial_options
{
    share_policy policy = share_policy::owned;
    std::uint64_t seed = 1;
    seconds length{30};
    std::vector<int> hosts_in_domain{2, 2, 2, 2};
    int workspaces = 5;
    /// Demand as a part of the rate.
    double load = 0.95;
    /// Share of requests that come to one host, in hundredths; 0 spreads them evenly.
    int skew_percent = 0;
    /// The first workspace sends this many times its part.
    double greedy_factor = 1;
    /// One domain is cut off from the others and the log after a third of the time.
    bool cut_domain = false;
    /// Messages lost out of a thousand.
    int lost_permille = 0;
};

struct trial_result
{
    std::int64_t requests = 0;
    std::int64_t refused = 0;
    std::int64_t refused_within_rate = 0;
    /// For each workspace.
    std::vector<std::int64_t> requests_of;
    std::vector<std::int64_t> within_rate_of;
    std::vector<std::int64_t> granted_of;
    std::int64_t over_grants = 0;
    double longest_wait_ms = 0;
    double messages_per_host_second = 0;
    double bytes_per_host_second = 0;

    double refused_within_rate_ratio() const;
    /// The greatest part refused within rate of any workspace.
    double worst_within_rate_ratio() const;
    /// The least part served of any workspace.
    double worst_served_ratio() const;
};

trial_result run_trial(const trial_options& options);

} // namespace banyanshunt
