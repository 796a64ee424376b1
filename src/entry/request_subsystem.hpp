#pragma once

/// \file
/// The subsystem of an entry host that serves requests: the handlers, the queues in which requests
/// wait, and the threads that sweep waiting requests and write claims.

#include <memory>

#include "entry/request_handler.hpp"
#include "state/periodic_thread.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{

/// The dependencies of the subsystem; each outlives it.
struct request_dependencies
{
    const entry_settings& settings;
    state_cell& state;
    any_token_source shares;
    http_client& http;
    metrics& counters;
    /// Called when a request begins to wait for a replica.
    std::function<void()> wake_demand;
    /// Time since the state was confirmed; nothing if it never was.
    std::function<std::optional<milliseconds>()> state_age;
};

/// Runs from `start` to `stop`.
class request_subsystem
{
public:
    explicit request_subsystem(const request_dependencies& dependencies);

    request_handler& handler() { return handler_; }
    replica_dispatcher& dispatcher() { return dispatcher_; }

    /// Options of the callers' server, with the refusal that it sends when overloaded.
    static http_server_options server_options(const entry_settings& settings);
    void add_handlers(http_server& callers);

    void start();
    /// Refuses new requests and returns once those in flight have ended; false if they had not
    /// ended by the drain limit. The host must already report that it is not ready.
    bool drain(http_server& callers);
    /// Writes the last outcomes of claimed calls and ends the threads. No request may still run.
    void stop();

private:
    milliseconds sweep();

    const entry_settings& settings_;
    state_cell& state_;
    metrics& counters_;
    http_model_engine engine_;
    http_plain_service service_;
    http_log_service log_;
    replica_dispatcher dispatcher_;
    token_queue queue_;
    fair_permits permits_;
    log_batcher<http_log_service> batcher_;
    claim_coordinator<http_log_service> claims_;
    request_handler handler_;
    std::unique_ptr<periodic_thread> claim_thread_;
    std::shared_ptr<periodic_thread> sweep_thread_;
};

} // namespace banyanshunt
