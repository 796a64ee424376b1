#pragma once

/// \file
/// Defines the checkers of the promises: pure functions from what was observed to a complaint, so
/// that a planted violation shows that each can fail.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "tools/caller.hpp"

namespace banyanshunt::scenario
{

/// A request with its outcome and what the backend servers know of it.
struct observed_request
{
    /// For messages.
    std::string name;
    /// Nothing while the request has no outcome.
    std::optional<caller_response> response;
    /// The text that a whole answer to just this request has; empty if any text will do.
    std::string expected_text;
    /// How often backend servers began it.
    int runs = 0;
    workspace_id workspace;
    /// What it was charged at least, if it was answered.
    std::int64_t tokens = 0;
};

using diagnostic = std::optional<std::string>;

/// Every request got a whole answer.
diagnostic check_answered(const std::vector<observed_request>& requests);
/// Every request got a whole answer, or a refusal with a reason and whether it ran.
diagnostic check_settled(const std::vector<observed_request>& requests);
/// Every request was refused, for `reason` unless that is empty.
diagnostic check_refused(const std::vector<observed_request>& requests, const std::string& reason);
/// Each answer, also one that broke off, holds nothing but the request's own text in order.
diagnostic check_whole(const std::vector<observed_request>& requests);
/// Nothing that was said not to have run did run.
diagnostic check_truthful(const std::vector<observed_request>& requests);
/// Nothing ran more than once.
diagnostic check_at_most_once(const std::vector<observed_request>& requests);
/// Everything ran exactly once.
diagnostic check_once(const std::vector<observed_request>& requests);

/// No header holds one of the secrets.
diagnostic check_no_key(const std::vector<std::string>& headers,
                        const std::vector<std::string>& secrets);
/// At most `limit` replicas were held at once.
diagnostic check_replicas(int most_held, std::int64_t limit);
/// No order went beyond an engine's memory.
diagnostic check_memory(int overcommits);

/// In no interval was more granted than `burst` and `rate` over its length. All that was both sent
/// and answered within an interval was surely granted in it.
diagnostic check_within_rate(const std::vector<observed_request>& requests,
                             const workspace_id& workspace, std::int64_t rate, std::int64_t burst);

/// The tickets seen in force on one host, in the order seen, never fall.
diagnostic check_no_revert(const std::string& host, const std::vector<std::int64_t>& seen);
/// A marked server began nothing since.
diagnostic check_no_new_work(const std::string& server, int runs_at_mark, int runs_now);
/// A host's stop ended within its drain limit.
diagnostic check_clean_stop(const std::string& host, std::optional<bool> clean);

} // namespace banyanshunt::scenario
