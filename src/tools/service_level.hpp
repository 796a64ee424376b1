#pragma once

/// \file
/// Service-level objectives and their burn rate: how many times faster than allowed the error
/// budget was used in a window. A burn of 1 uses exactly the budget; 10 uses it ten times too fast.

#include <optional>
#include <string>
#include <vector>

#include "protocol/settings_file.hpp"
#include "tools/metric_scrape.hpp"

namespace banyanshunt
{

/// Which requests an objective counts as bad.
enum class objective_kind
{
    /// Requests that failed or were refused for a reason of the system, not of the caller.
    availability,
    /// Requests whose first token arrived after the limit.
    first_token,
    /// Requests refused for the rate limit. This is an upper bound of the wrong refusals: only an
    /// audit of the caller's own records, as in shunt-load, tells which were within the rate.
    over_rate,
    /// Failed and refused requests of the workspace with the largest fraction of them.
    worst_workspace,
};

struct objective
{
    std::string name;
    objective_kind kind = objective_kind::availability;
    /// The fraction of requests that must be good, in thousandths.
    std::int64_t good_permille = 999;
    /// For `first_token`: must equal one of the histogram's bucket bounds.
    milliseconds limit{1000};
};

struct objectives
{
    std::vector<objective> all;
    std::vector<seconds> windows;
};

/// Reads the objectives; errors are then in `file.errors()`.
objectives read_objectives(settings_file& file);

struct window_burn
{
    seconds window{0};
    double bad = 0;
    double total = 0;
    /// The worst workspace; set for `worst_workspace` only.
    std::string workspace;
    /// The burn rate; nullopt if there were no requests.
    std::optional<double> rate;
};

/// Computes the burn in the `window` that ends at `at`.
window_burn burn_at(const objective& it, const std::vector<metric_scrape>& scrapes, seconds window,
                    seconds at);

} // namespace banyanshunt
