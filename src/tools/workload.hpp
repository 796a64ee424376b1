#pragma once

/// \file
/// A workload: streams of requests with their rates, model names and sizes, read from an INI file.
/// The workloads of the two deployments are in examples/.

#include <string>
#include <vector>

#include "protocol/settings_file.hpp"
#include "state/ids.hpp"

namespace banyanshunt
{

/// One kind of request.
struct load_stream
{
    std::string name;
    workspace_id workspace;
    std::string bearer;
    /// Mean arrival rate, in thousandths of a request per second.
    std::int64_t millirequests_per_second = 1000;
    /// Ratio of the rate in a burst to the rate between bursts.
    std::int64_t burst_factor = 1;
    /// Period of the bursts, each of which lasts a tenth of it; zero for no bursts.
    seconds burst_every{0};
    /// Names are `name_prefix` followed by 01, 02 and so on up to `names`; a few get most requests.
    std::string name_prefix;
    std::int64_t names = 1;
    std::int64_t prompt_tokens = 50;
    std::int64_t completion_tokens = 50;
    milliseconds deadline{30000};
    /// The path of a plain service; empty for completions.
    std::string path;
    /// The cost of one call of a plain service, in tokens.
    std::int64_t call_tokens = 1;
    /// Each call carries its own idempotency key.
    bool idempotent = false;
};

/// A workspace's rate and burst, as in the ticket in effect; used for the audit of refusals.
struct load_workspace
{
    workspace_id id;
    std::int64_t tokens_per_second = 0;
    std::int64_t burst_tokens = 0;
};

struct workload
{
    /// Entry hosts, to which requests are sent round-robin.
    std::vector<std::string> entry_addresses;
    /// Admin addresses of backend engines, polled to measure idle time; may be empty.
    std::vector<std::string> engine_addresses;
    std::int64_t accelerators_per_engine = 4;
    seconds duration{60};
    std::int64_t seed = 1;
    /// Maximum number of requests in flight; further ones wait, and the wait counts as latency.
    std::int64_t connections = 128;
    std::vector<load_workspace> workspaces;
    std::vector<load_stream> streams;
};

/// Reads the entire file; errors are then in `file.errors()`.
workload read_workload(settings_file& file);

/// Splits a comma-separated list; trims the names and skips empty ones.
std::vector<std::string> split_names(const std::string& text);

} // namespace banyanshunt
