#pragma once

/// \file
/// Defines the part of an entry host that carries requests: the handlers with all that they wait
/// at, and the duties that end waits and write claims.

#include <memory>

#include "entry/request_handler.hpp"
#include "state/periodic_thread.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{

/// What the part works with; all of it outlives the part.
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
    explicit request_subsystem(const request_dependencies& needs);

    request_handler& handler() { return handler_; }
    replica_dispatcher& dispatcher() { return board_; }

    /// The callers' server, with this part's refusals.
    static http_server_options server_options(const entry_settings& settings);
    void add_handlers(http_server& callers);

    void start();
    /// Refuses new requests and returns once the ones under way have ended; false if they had not
    /// by the drain limit. The host must have said before that it is not ready.
    bool drain(http_server& callers);
    /// Writes the last outcomes of claimed calls and ends the duties. No request may run any more.
    void stop();

private:
    milliseconds sweep();

    const entry_settings& settings_;
    state_cell& state_;
    metrics& counters_;
    http_model_engine engine_;
    http_plain_service service_;
    http_log_service log_;
    replica_dispatcher board_;
    token_queue line_;
    fair_permits places_;
    log_batcher<http_log_service> batcher_;
    claim_coordinator<http_log_service> claims_;
    request_handler handler_;
    std::unique_ptr<periodic_thread> claim_duty_;
    std::shared_ptr<periodic_thread> waiting_duty_;
};

} // namespace banyanshunt
