#pragma once

/// \file
/// Handles a caller's request on an entry host, from its arrival to its response.

#include <atomic>

#include "coordination/admission.hpp"
#include "coordination/completion_run.hpp"
#include "coordination/retry_budget.hpp"
#include "entry/request_context.hpp"
#include "entry/response_stream.hpp"
#include "entry/service_call_handler.hpp"
#include "protocol/completion_codec.hpp"

namespace banyanshunt
{

/// Handles callers' requests; safe from any thread.
class request_handler
{
public:
    explicit request_handler(request_context context);

    http_response completion(const http_request& request, bool chat);
    http_response models(const http_request& request);
    http_response plain_call(const http_request& request);

    /// Refuses new requests from now on.
    void drain() { draining_ = true; }
    /// Refuses waiting requests whose key is withdrawn or whose caller disconnected, and excludes
    /// leaving servers. To be called several times a second.
    void sweep();
    /// Requests that have begun and not ended.
    int running() const { return running_; }

private:
    struct job;

    verdict<std::shared_ptr<job>> begin(const http_request& request, bool chat);
    verdict<completion_end> run(job& it, const token_sink& sink);
    verdict<completion_end> run_with_retries(job& it, const token_sink& sink);
    verdict<completion_end> run_on(job& it, const ready_replica& replica, const token_sink& sink);
    /// Releases the unused tokens of the reservation; further calls do nothing.
    void settle(job& it, millitokens used) const;
    std::optional<milliseconds> pause_before_retry(int attempt);
    http_response full_response(const std::shared_ptr<job>& it);
    http_response streamed_response(const std::shared_ptr<job>& it);
    void count_outcome(const workspace_id& workspace, const char* result);
    request_id new_request_id();

    request_context context_;
    service_call_handler service_calls_;
    std::mutex retry_mutex_;
    retry_budget retries_;
    std::mt19937_64 random_;
    std::atomic<bool> draining_ = false;
    std::atomic<int> running_ = 0;
    std::atomic<std::uint64_t> next_request_;
    std::uint64_t incarnation_;
    worker_pool readers_;
};

} // namespace banyanshunt
