#pragma once

/// \file
/// What the handling of completions and of calls to plain services has in common on an entry host.

#include <atomic>
#include <string>

#include "coordination/any_token_source.hpp"
#include "coordination/claim_coordinator.hpp"
#include "coordination/fair_permits.hpp"
#include "coordination/key_check.hpp"
#include "coordination/replica_dispatcher.hpp"
#include "coordination/token_queue.hpp"
#include "entry/entry_settings.hpp"
#include "state/state_cell.hpp"
#include "transport/backend_clients.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{

/// The dependencies of request handling; each outlives the handler.
struct request_context
{
    const entry_settings& settings;
    const state_cell& state;
    any_token_source shares;
    token_queue& queue;
    /// Limits the requests in flight, fairly between workspaces.
    fair_permits& permits;
    replica_dispatcher& dispatcher;
    claim_coordinator<http_log_service>& claims;
    http_model_engine& engine;
    http_plain_service& service;
    metrics& counters;
    /// Called when a request begins to wait for a replica.
    std::function<void()> wake_demand;
    /// Time since the state was confirmed; nothing if it never was.
    std::function<std::optional<milliseconds>()> state_age;
};

/// Counts a request as running for the lifetime of this object.
class running_count
{
public:
    explicit running_count(std::atomic<int>& count) : count_(count) { ++count_; }
    ~running_count() { --count_; }
    running_count(const running_count&) = delete;
    running_count& operator=(const running_count&) = delete;

private:
    std::atomic<int>& count_;
};

/// The bearer key, or an empty string.
std::string bearer_token(const http_request& request);
/// When the response must have begun: the smaller of `max_duration` and the caller's X-Deadline-Ms.
instant deadline_of(const http_request& request, milliseconds max_duration, instant now);
/// Counts the refusal and encodes it.
http_response refusal_response(metrics& counters, const failure& why);
/// The refusal of a host that is stopping.
failure draining_refusal();
/// The refusal of a request whose workspace holds all the permits that it may have.
failure no_permit_refusal();
/// Whether the key still authenticates the workspace.
bool is_key_valid(const fleet_state& state, const key_id& key, const workspace_id& workspace);
/// Queues for the tokens; ends early when the key is withdrawn or the caller disconnects.
verdict<reservation> reserve_tokens(const request_context& context, const key_holder& holder,
                                    millitokens cost, instant deadline,
                                    const std::function<bool()>& caller_disconnected);

} // namespace banyanshunt
