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

constexpr std::size_t longest_idempotency_key = 255;
constexpr milliseconds come_back(1000);

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

// Usable servers by chance, then ejected ones, which may be back.
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
                     .body = it.request.body,
                     .repeatable = it.admitted.route.repeatable};
    {
        std::lock_guard lock(mutex_);
        health_.record_sent(name);
    }
    auto left = std::chrono::ceil<milliseconds>(it.deadline - boot_clock().now());
    auto limit = std::clamp(left, milliseconds(1), context_.settings.service_timeout);
    auto answer = context_.service.call(server.address, out, limit);
    std::lock_guard lock(mutex_);
    health_.record_outcome(name, answer ? server_outcome::responded : outcome_of(answer.error()),
                           boot_clock().now(), random_);
    return answer;
}

// The next server is tried only after a sure `not_run`.
verdict<service_response> service_call_handler::send_to_servers(const call& it)
{
    failure last = refusal(errc::no_replica, fmt::format("no server of route {} can be reached",
                                                         it.admitted.id.str()));
    last.retry_after = come_back;
    bool first = true;
    for (const auto& name : servers_in_order(it))
    {
        auto state = context_.state.get();
        const server_object* server = find_object(state->servers, name);
        if (!server || server->leaving)
        {
            continue;
        }
        bool key_good = !it.admitted.holder || is_key_valid(*state, it.admitted.holder->key,
                                                            it.admitted.holder->workspace);
        if (!key_good)
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
        auto answer = send_to(it, name, *server);
        if (answer || answer.error().run != run_state::not_run)
        {
            return answer;
        }
        last.detail = answer.error().detail;
    }
    return last;
}

verdict<service_response> service_call_handler::send_claimed(call& it)
{
    std::string idempotency_key = it.request.header("idempotency-key");
    if (idempotency_key.size() > longest_idempotency_key)
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
        it.told_again = true;
        return service_response{.status = claimed->outcome->status,
                                .content_type = claimed->outcome->content_type,
                                .body = claimed->outcome->body};
    }
    auto answer = send_to_servers(it);
    if (answer)
    {
        context_.claims.record_outcome(
            key, claimed->claim,
            {.status = answer->status, .content_type = answer->content_type, .body = answer->body});
    }
    else if (answer.error().run == run_state::not_run)
    {
        context_.claims.abandon(key, claimed->claim);
    }
    return answer;
}

// A call that did not run costs nothing; neither does one whose outcome was only told again.
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
    auto answer = claims ? send_claimed(it) : send_to_servers(it);
    if (held)
    {
        bool ran_now = !it.told_again && (answer || answer.error().run == run_state::may_have_run);
        context_.shares.settle(*held, ran_now ? held->amount : millitokens(0), boot_clock().now());
    }
    return answer;
}

http_response service_call_handler::handle(const http_request& request, const request_id& id)
{
    auto admitted = admit_call(*context_.state.get(), request.path, bearer_token(request));
    if (!admitted)
    {
        return refusal_response(context_.counters, admitted.error());
    }
    // Callers of routes open to all share places as one.
    auto place =
        context_.permits.acquire(admitted->holder ? admitted->holder->workspace : workspace_id());
    if (!place)
    {
        return refusal_response(context_.counters, no_permit_refusal());
    }
    call it{.request = request,
            .id = id,
            .admitted = *admitted,
            .deadline =
                deadline_of(request, context_.settings.service_timeout, boot_clock().now())};
    auto answer = send(it);
    if (!answer)
    {
        return refusal_response(context_.counters, answer.error());
    }
    auto fields = fields_for_caller(answer->headers);
    if (it.told_again)
    {
        fields.push_back({.name = "Idempotent-Replayed", .value = "true"});
    }
    return {.status = answer->status,
            .content_type = answer->content_type,
            .headers = std::move(fields),
            .body = std::move(answer->body),
            .stream = {}};
}

} // namespace banyanshunt
