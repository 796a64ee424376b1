#pragma once

/// \file
/// Handles a call to a plain service on an entry host: it runs at most once where the route may not
/// be repeated, and once over all hosts when it has an idempotency key.

#include <mutex>
#include <random>

#include "coordination/admission.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/server_health.hpp"
#include "entry/request_context.hpp"

namespace banyanshunt
{

/// Handles callers' calls; safe from any thread.
class service_call_handler
{
public:
    explicit service_call_handler(request_context context);

    /// Sends the request, under this id, to a server of its route and returns the response.
    http_response handle(const http_request& request, const request_id& id);

private:
    /// One admitted call in flight.
    struct call
    {
        const http_request& request;
        request_id id;
        admitted_call admitted;
        instant deadline;
        /// Nothing was sent: the response is the outcome of an earlier call with the same key.
        bool replayed = false;
    };

    verdict<service_response> send(call& it);
    verdict<service_response> send_claimed(call& it);
    verdict<service_response> send_to_servers(const call& it);
    std::vector<server_id> servers_in_order(const call& it);
    verdict<service_response> send_to(const call& it, const server_id& name,
                                      const server_object& server);
    bool may_retry();

    request_context context_;
    std::mutex mutex_;
    server_health health_;
    retry_budget retries_;
    std::mt19937_64 random_;
};

} // namespace banyanshunt
