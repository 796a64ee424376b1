#pragma once

/// \file
/// Defines service-level objectives and their burn: how many times faster than allowed the error
/// budget was used in a window. A burn of 1 uses exactly the budget; 10 uses it ten times too fast.

#include <optional>
#include <string>
#include <vector>

#include "protocol/settings_file.hpp"
#include "tools/metric_scrape.hpp"

namespace banyanshunt
{

/// What an objective counts as bad.
enum class objective_kind
{
    /// Requests failed or refused for a reason that is the system's, not the caller's.
    availability,
    /// First tokens later than the limit.
    first_token,
    /// Requests refused for the rate. An upper bound of those refused within it: only a caller's
    /// own records, judged by shunt-load, tell the two apart.
    over_rate,
    /// Requests of the workspace with the largest part refused or failed.
    worst_workspace,
};

struct objective
{
    std::string name;
    objective_kind kind = objective_kind::availability;
    /// The part of requests that must be good, in thousandths.
    std::int64_t good_permille = 999;
    /// For `first_token`: must be one of the histogram's bounds.
    milliseconds limit{1000};
};

struct objectives
{
    std::vector<objective> all;
    std::vector<seconds> windows;
};

/// Reads the objectives; `file.mistakes()` then tells what is wrong.
objectives read_objectives(settings_file& file);

/// The burn of one objective in one window.
struct window_burn
{
    seconds window{0};
    double bad = 0;
    double total = 0;
    /// The workspace, for `worst_workspace`.
    std::string workspace;
    /// Nothing when there were no requests.
    std::optional<double> rate;
};

/// The burn in the `window` that ends at `ready_at`.
window_burn burn_at(const objective& it, const std::vector<metric_scrape>& scrapes, seconds window,
                    seconds at);

} // namespace banyanshunt
