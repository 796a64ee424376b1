#pragma once

/// \file
/// Runs one trial of a policy for shares: an open-loop load on all hosts under a test clock. The
/// reference is a single bucket for each workspace's rate and burst, which all grants on all hosts
/// are charged to. A refusal was within rate if that bucket held enough tokens at that instant.

#include <cstdint>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

enum class share_policy
{
    /// Owned shares with loans.
    owned,
    /// The same shares without loans, which is equivalent to fixed equal shares.
    fixed,
    /// The complete bucket of each workspace at one host, which the other hosts query.
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
    /// The demand as a fraction of the rate.
    double load = 0.95;
    /// The percentage of a workspace's requests sent to one host; the others are spread evenly.
    int skew_percent = 0;
    /// The factor by which the demand of the first workspace exceeds that of the others.
    double greedy_factor = 1;
    /// Whether one domain loses its links to the others and the log after a third of the time.
    bool cut_domain = false;
    /// The number of lost messages per thousand.
    int lost_permille = 0;
};

struct trial_result
{
    std::int64_t requests = 0;
    std::int64_t refused = 0;
    std::int64_t refused_within_rate = 0;
    /// Requests, refusals within rate and grants, each by workspace.
    std::vector<std::int64_t> requests_of;
    std::vector<std::int64_t> within_rate_of;
    std::vector<std::int64_t> granted_of;
    std::int64_t over_grants = 0;
    double longest_wait_ms = 0;
    double messages_per_host_second = 0;
    double bytes_per_host_second = 0;

    double refused_within_rate_ratio() const;
    /// The largest fraction of a workspace's requests that was refused within rate.
    double worst_within_rate_ratio() const;
    /// The smallest fraction of a workspace's requests that was granted.
    double worst_served_ratio() const;
};

trial_result run_trial(const trial_options& options);

} // namespace banyanshunt
