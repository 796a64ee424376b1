#include "entry/service_call_handler.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "coordination/header_filter.hpp"
#include "protocol/claim_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t max_idempotency_key_bytes = 255;
constexpr milliseconds retry_delay(1000);

failure refusal(errc code, std::string detail)
{
    return {.run = run_state::not_run,
            .code = code,
            .detail = std::move(detail),
            .retry_after = std::nullopt};
}

claim_key key_of(const admitted_call& admitted, const std::string& idempotency_key)
{
    std::string scope = admitted.holder ? "workspace " + admitted.holder->workspace.str()
                                        : "route " + admitted.id.str();
    return {.scope = scope, .key = idempotency_key};
}

} // namespace

service_call_handler::service_call_handler(request_context context)
    : context_(std::move(context)), retries_({.percent = context_.settings.requests.retry_percent}),
      random_(make_seeded_rng())
{
}

bool service_call_handler::may_retry()
{
    std::lock_guard lock(mutex_);
    return retries_.acquire();
}

// Usable servers in random order, then ejected ones, which may have recovered.
std::vector<server_id> service_call_handler::servers_in_order(const call& it)
{
    std::vector<server_id> order = it.admitted.route.servers;
    std::lock_guard lock(mutex_);
    retries_.record_request();
    std::shuffle(order.begin(), order.end(), random_);
    instant now = boot_clock().now();
    std::stable_partition(order.begin(), order.end(),
                          [&](const server_id& server) { return health_.usable(server, now); });
    return order;
}

verdict<service_response> service_call_handler::send_to(const call& it, const server_id& name,
                                                        const server_object& server)
{
    service_call out{.id = it.id,
                     .method = it.request.method,
                     .path = it.request.target,
                     .headers = fields_for_service(it.request.headers),
                     .body = it.request.body};
    {
        std::lock_guard lock(mutex_);
        health_.record_sent(name);
    }
    auto left = std::chrono::ceil<milliseconds>(it.deadline - boot_clock().now());
    auto limit = std::clamp(left, milliseconds(1), context_.settings.service_timeout);
    auto response = context_.service.call(server.address, out, limit);
    std::lock_guard lock(mutex_);
    health_.record_outcome(name,
                           response ? server_outcome::responded : outcome_of(response.error()),
                           boot_clock().now(), random_);
    return response;
}

// Tries the next server only after a guaranteed `not_run`.
verdict<service_response> service_call_handler::send_to_servers(const call& it)
{
    failure last = refusal(errc::no_replica, fmt::format("no server of route {} can be reached",
                                                         it.admitted.id.str()));
    last.retry_after = retry_delay;
    bool first = true;
    for (const auto& name : servers_in_order(it))
    {
        auto state = context_.state.get();
        const server_object* server = find_object(state->servers, name);
        if (!server || server->leaving)
        {
            continue;
        }
        bool key_valid = !it.admitted.holder || is_key_valid(*state, it.admitted.holder->key,
                                                             it.admitted.holder->workspace);
        if (!key_valid)
        {
            return refusal(errc::key_refused, "the key was withdrawn");
        }
        if (boot_clock().now() >= it.deadline)
        {
            return refusal(errc::deadline, "the deadline passed before the call was sent");
        }
        if (!std::exchange(first, false) && !may_retry())
        {
            break;
        }
        auto response = send_to(it, name, *server);
        if (response || response.error().run != run_state::not_run)
        {
            return response;
        }
        last.detail = response.error().detail;
    }
    return last;
}

verdict<service_response> service_call_handler::send_claimed(call& it)
{
    std::string idempotency_key = it.request.header("idempotency-key");
    if (idempotency_key.size() > max_idempotency_key_bytes)
    {
        return refusal(errc::bad_request, "the idempotency key is too long");
    }
    claim_key key = key_of(it.admitted, idempotency_key);
    std::string digest = call_digest(it.request.method, it.request.target, it.request.body);
    instant limit =
        std::min(it.deadline, boot_clock().now() + context_.settings.requests.claim_timeout);
    auto claimed = context_.claims.claim(key, digest, limit);
    if (!claimed)
    {
        return claimed.error();
    }
    if (claimed->outcome)
    {
        it.replayed = true;
        return service_response{.status = claimed->outcome->status,
                                .content_type = claimed->outcome->content_type,
                                .body = claimed->outcome->body};
    }
    auto response = send_to_servers(it);
    if (response)
    {
        context_.claims.record_outcome(key, claimed->claim,
                                       {.status = response->status,
                                        .content_type = response->content_type,
                                        .body = response->body});
    }
    else if (response.error().run == run_state::not_run)
    {
        context_.claims.abandon(key, claimed->claim);
    }
    return response;
}

// A call that did not run costs nothing; neither does one whose outcome was only replayed.
verdict<service_response> service_call_handler::send(call& it)
{
    bool claims = !it.admitted.route.repeatable && !it.request.header("idempotency-key").empty();
    std::optional<reservation> held;
    if (it.admitted.holder)
    {
        auto reserved =
            reserve_tokens(context_, *it.admitted.holder, tokens(it.admitted.route.cost_tokens),
                           it.deadline, it.request.caller_disconnected);
        if (!reserved)
        {
            return reserved.error();
        }
        held = *reserved;
    }
    auto response = claims ? send_claimed(it) : send_to_servers(it);
    if (held)
    {
        bool ran_now =
            !it.replayed && (response || response.error().run == run_state::may_have_run);
        context_.shares.settle(*held, ran_now ? held->amount : millitokens(0), boot_clock().now());
    }
    return response;
}

http_response service_call_handler::handle(const http_request& request, const request_id& id)
{
    auto admitted = admit_call(*context_.state.get(), request.path, bearer_token(request));
    if (!admitted)
    {
        return refusal_response(context_.counters, admitted.error());
    }
    // All callers of public routes share the permits of one workspace.
    auto permit =
        context_.permits.acquire(admitted->holder ? admitted->holder->workspace : workspace_id());
    if (!permit)
    {
        return refusal_response(context_.counters, no_permit_refusal());
    }
    call it{.request = request,
            .id = id,
            .admitted = *admitted,
            .deadline =
                deadline_of(request, context_.settings.service_timeout, boot_clock().now())};
    auto response = send(it);
    if (!response)
    {
        return refusal_response(context_.counters, response.error());
    }
    auto fields = fields_for_caller(response->headers);
    if (it.replayed)
    {
        fields.push_back({.name = "Idempotent-Replayed", .value = "true"});
    }
    return {.status = response->status,
            .content_type = response->content_type,
            .headers = std::move(fields),
            .body = std::move(response->body),
            .stream = {}};
}

} // namespace banyanshunt
