#pragma once

/// \file
/// Defines the life of a caller's request on an entry host, from its arrival to its answer.

#include <atomic>

#include "coordination/admission.hpp"
#include "coordination/any_token_source.hpp"
#include "coordination/completion_run.hpp"
#include "coordination/replica_board.hpp"
#include "entry/answer_stream.hpp"
#include "entry/entry_settings.hpp"
#include "protocol/completion_codec.hpp"
#include "state/state_cell.hpp"
#include "transport/backend_clients.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"

namespace banyanshunt
{

/// What request handling works with; all of it outlives the handler.
struct request_context
{
    const entry_settings& settings;
    const state_cell& state;
    any_token_source shares;
    replica_board& board;
    http_model_engine& engine;
    http_plain_service& service;
    metrics& counters;
    /// Called when a request begins to wait for a replica.
    std::function<void()> wake_demand;
};

/// Handles callers' requests; safe from any thread.
class request_handler
{
public:
    explicit request_handler(request_context context);

    http_reply completion(const http_request& request, bool chat);
    http_reply models(const http_request& request);
    http_reply plain_call(const http_request& request);

    /// Refuses new requests from now on.
    void drain() { draining_ = true; }
    /// Requests that have begun and not ended.
    int running() const { return running_; }

private:
    struct job;

    http_reply refuse(const failure& why);
    verdict<std::shared_ptr<job>> begin(const http_request& request, bool chat);
    verdict<completion_end> run(job& it, const token_sink& sink);
    http_reply whole_answer(const std::shared_ptr<job>& it);
    http_reply streamed_answer(const std::shared_ptr<job>& it);
    verdict<service_answer> call_service(const admitted_call& admitted, const http_request& request,
                                         const request_id& id);
    request_id new_request_id();

    request_context context_;
    std::atomic<bool> draining_ = false;
    std::atomic<int> running_ = 0;
    std::atomic<std::uint64_t> next_request_;
    std::uint64_t life_;
};

} // namespace banyanshunt
