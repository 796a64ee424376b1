#pragma once

/// \file
/// Defines a workload: streams of requests with their rates, names and sizes, read from INI. The
/// two deployments' workloads are in examples/.

#include <string>
#include <vector>

#include "protocol/settings_file.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// One kind of request, such as swap guidance at the unit.
struct load_stream
{
    std::string name;
    workspace_id workspace;
    std::string bearer;
    /// Mean arrivals, in thousandths of a request a second.
    std::int64_t millirequests_per_second = 1000;
    /// How many times the mean the rate rises to in bursts.
    std::int64_t burst_factor = 1;
    /// A burst of a tenth of this length begins once in each; zero for none.
    seconds burst_every{0};
    /// Names are `name_prefix` followed by 01, 02 and so on to `names`, a few of them popular.
    std::string name_prefix;
    std::int64_t names = 1;
    std::int64_t prompt_tokens = 50;
    std::int64_t completion_tokens = 50;
    milliseconds deadline{30000};
    /// The path of a plain service; empty for completions.
    std::string path;
    /// The cost of one call of a plain service, in tokens.
    std::int64_t call_tokens = 1;
    /// Each call carries an idempotency key of its own.
    bool idempotent = false;
};

/// A workspace's rate and burst, as the ticket in force has them, for the judge of refusals.
struct load_workspace
{
    workspace_id id;
    std::int64_t tokens_per_second = 0;
    std::int64_t burst_tokens = 0;
};

struct workload
{
    /// Where requests go, in turn.
    std::vector<std::string> entry_addresses;
    /// Admin addresses of backend engines, asked for idle hours; may be empty.
    std::vector<std::string> engine_addresses;
    std::int64_t accelerators_per_engine = 4;
    seconds duration{60};
    std::int64_t seed = 1;
    /// Requests under way at once; later ones wait, and their wait counts as latency.
    std::int64_t connections = 128;
    std::vector<load_workspace> workspaces;
    std::vector<load_stream> streams;
};

/// Reads the whole file; `file.mistakes()` then tells what is wrong.
workload read_workload(settings_file& file);

/// Splits "a, b,c" into its names.
std::vector<std::string> split_names(const std::string& text);

} // namespace banyanshunt
