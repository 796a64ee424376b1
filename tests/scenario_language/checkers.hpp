#pragma once

/// \file
/// Checkers of the system's guarantees. They are pure functions from observations to a diagnostic,
/// so a test can show with a planted violation that each of them can fail.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "tools/caller.hpp"

namespace banyanshunt::scenario
{

/// A request with its outcome and what the backend servers recorded of it.
struct observed_request
{
    /// Used in diagnostics.
    std::string name;
    /// Empty while the request is in flight.
    std::optional<caller_response> response;
    /// The text of a complete response to this request; empty if any text is accepted.
    std::string expected_text;
    /// How many times backend servers started it.
    int runs = 0;
    workspace_id workspace;
    /// The least number of tokens that it was charged, if it was answered.
    std::int64_t tokens = 0;
};

using diagnostic = std::optional<std::string>;

/// Every request got a complete response.
diagnostic check_answered(const std::vector<observed_request>& requests);
/// Every request got a complete response, or a refusal that gives a reason and whether it ran.
diagnostic check_settled(const std::vector<observed_request>& requests);
/// Every request was refused, for `reason` unless that is empty.
diagnostic check_refused(const std::vector<observed_request>& requests, const std::string& reason);
/// Each response, even an interrupted one, contains only the request's own text, in order.
diagnostic check_whole(const std::vector<observed_request>& requests);
/// No request that was reported as not run did run.
diagnostic check_truthful(const std::vector<observed_request>& requests);
/// No request ran more than once.
diagnostic check_at_most_once(const std::vector<observed_request>& requests);
/// Every request ran exactly once.
diagnostic check_once(const std::vector<observed_request>& requests);

/// No header contains one of the secrets.
diagnostic check_no_key(const std::vector<std::string>& headers,
                        const std::vector<std::string>& secrets);
/// At most `limit` replicas were held at the same time, loading ones included.
diagnostic check_replicas(int most_held, std::int64_t limit);
/// No order exceeded an engine's memory.
diagnostic check_memory(int overcommits);

/// In every interval at most `burst` plus `rate` times its length was granted. A request that was
/// both sent and answered within an interval must have been granted in it.
diagnostic check_within_rate(const std::vector<observed_request>& requests,
                             const workspace_id& workspace, std::int64_t rate, std::int64_t burst);

/// The ticket numbers in effect on one host, in the order observed, never decrease.
diagnostic check_no_revert(const std::string& host, const std::vector<std::int64_t>& seen);
/// A marked server has started no request since its mark.
diagnostic check_no_new_work(const std::string& server, int runs_at_mark, int runs_now);
/// A host drained within its limit when it was stopped.
diagnostic check_clean_stop(const std::string& host, std::optional<bool> clean);

} // namespace banyanshunt::scenario
