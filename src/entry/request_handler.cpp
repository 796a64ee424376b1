#include "entry/request_handler.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "coordination/random_source.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

namespace
{

constexpr milliseconds retry_delay(1000);

} // namespace

// One admitted completion and the resources it holds until it ends.
struct request_handler::job
{
    explicit job(std::atomic<int>& count) : counted(count) {}

    running_count counted;
    fair_permits::permit permit;
    admitted_completion admitted;
    reservation held;
    completion_header header;
    completion_request request;
    bool stream = false;
    instant begun;
    instant deadline;
    std::function<bool()> caller_disconnected;
    bool first_token = true;
    bool settled = false;
};

request_handler::request_handler(request_context context)
    : context_(std::move(context)), service_calls_(context_),
      retries_({.percent = context_.settings.requests.retry_percent}), random_(make_seeded_rng()),
      next_request_(0), incarnation_(make_seeded_rng()()),
      readers_({.threads = context_.settings.threads})
{
}

void request_handler::count_outcome(const workspace_id& workspace, const char* result)
{
    context_.counters.increment("banyanshunt_workspace_outcomes_total",
                                {{"workspace", workspace.str()}, {"result", result}});
}

request_id request_handler::new_request_id()
{
    return request_id(
        fmt::format("{}-{:x}-{}", context_.settings.host.name, incarnation_, next_request_++));
}

verdict<std::shared_ptr<request_handler::job>> request_handler::begin(const http_request& request,
                                                                      bool chat)
{
    auto it = std::make_shared<job>(running_);
    if (draining_)
    {
        return draining_refusal();
    }
    auto decoded = decode_completion_request(request.body, chat);
    if (!decoded)
    {
        return decoded.error();
    }
    completion_params params{.bearer = bearer_token(request),
                             .name = decoded->name,
                             .prompt = decoded->prompt,
                             .max_tokens = decoded->max_tokens};
    auto admitted = admit_completion(*context_.state.get(), params);
    if (!admitted)
    {
        return admitted.error();
    }
    it->permit = context_.permits.acquire(admitted->workspace);
    if (!it->permit)
    {
        return no_permit_refusal();
    }
    it->begun = boot_clock().now();
    it->deadline = deadline_of(request, context_.settings.deadline, it->begun);
    it->caller_disconnected = request.caller_disconnected;
    auto held = reserve_tokens(context_, {.key = admitted->key, .workspace = admitted->workspace},
                               admitted->cost, it->deadline, request.caller_disconnected);
    if (!held)
    {
        count_outcome(admitted->workspace, "refused");
        return held.error();
    }
    it->admitted = *admitted;
    it->held = *held;
    it->stream = decoded->stream;
    it->header = {.id = new_request_id(), .name = decoded->name, .chat = chat};
    it->request = {.id = it->header.id,
                   .model = admitted->model,
                   .adapter = admitted->adapter,
                   .prompt = decoded->prompt,
                   .max_tokens = decoded->max_tokens,
                   .priority = 0};
    return it;
}

verdict<completion_end> request_handler::run_on(job& it, const ready_replica& replica,
                                                const token_sink& sink)
{
    auto record_first = [&](const stream_token& token)
    {
        if (std::exchange(it.first_token, false))
        {
            context_.counters.observe("banyanshunt_first_token_seconds",
                                      boot_clock().now() - it.begun);
        }
        return sink(token);
    };
    instant since = boot_clock().now();
    auto end = run_completion(
        context_.engine, replica.address, it.request,
        {.idle_timeout = context_.settings.idle_timeout, .first_token_deadline = it.deadline},
        record_first);
    context_.dispatcher.release(replica, since,
                                end ? server_outcome::responded : outcome_of(end.error()));
    return end;
}

// The pause, or nothing when the retry budget is exhausted.
std::optional<milliseconds> request_handler::pause_before_retry(int attempt)
{
    std::lock_guard lock(retry_mutex_);
    if (!retries_.acquire())
    {
        return std::nullopt;
    }
    return retry_backoff(attempt, random_);
}

// Waits for a replica and runs on it. A replica that refused did not run the request, so it is
// safe to try another.
verdict<completion_end> request_handler::run_with_retries(job& it, const token_sink& sink)
{
    dispatch_request wait{.filter = {.model = it.admitted.model,
                                     .adapter = it.admitted.adapter,
                                     .prefix = affinity_prefix(it.request.prompt),
                                     .refused_by = {}},
                          .workspace = it.admitted.workspace,
                          .key = it.admitted.key,
                          .cost = it.admitted.cost,
                          .deadline = it.deadline,
                          .caller_disconnected = it.caller_disconnected,
                          .on_wait = context_.wake_demand};
    for (int attempt = 1;; ++attempt)
    {
        auto replica = context_.dispatcher.acquire(wait);
        if (!replica)
        {
            return replica.error();
        }
        auto end = run_on(it, *replica, sink);
        if (end || end.error().run != run_state::not_run)
        {
            return end;
        }
        auto pause = pause_before_retry(attempt);
        if (!pause || boot_clock().now() + *pause >= it.deadline)
        {
            failure why = end.error();
            why.retry_after = retry_delay;
            return why;
        }
        context_.counters.increment("banyanshunt_retries_total");
        wait.filter.refused_by.insert(replica->server);
        std::this_thread::sleep_for(*pause);
    }
}

verdict<completion_end> request_handler::run(job& it, const token_sink& sink)
{
    {
        std::lock_guard lock(retry_mutex_);
        retries_.record_request();
    }
    auto end = run_with_retries(it, sink);
    count_outcome(it.admitted.workspace, end ? "answered" : "failed");
    millitokens used = it.held.amount;
    if (end)
    {
        std::int64_t cost = prompt_cost(it.request.prompt) + end->completion_tokens;
        used = std::min(used, tokens(cost));
    }
    else if (end.error().run == run_state::not_run)
    {
        used = millitokens(0);
    }
    settle(it, used);
    return end;
}

void request_handler::settle(job& it, millitokens used) const
{
    if (!std::exchange(it.settled, true))
    {
        context_.shares.settle(it.held, used, boot_clock().now());
    }
}

http_response request_handler::full_response(const std::shared_ptr<job>& it)
{
    std::string text;
    auto end = run(*it,
                   [&](const stream_token& token)
                   {
                       text += token.text;
                       return !it->caller_disconnected || !it->caller_disconnected();
                   });
    if (!end)
    {
        return refusal_response(context_.counters, end.error());
    }
    return {
        .headers = {}, .body = encode_completion_response(it->header, text, *end), .stream = {}};
}

http_response request_handler::streamed_response(const std::shared_ptr<job>& it)
{
    auto source = std::make_shared<response_stream>(readers_, [this, it](const token_sink& sink)
                                                    { return run(*it, sink); });
    response_item first = source->next();
    if (auto* why = std::get_if<failure>(&first))
    {
        // When no reader thread was free, the request never ran.
        settle(*it, millitokens(0));
        return refusal_response(context_.counters, *why);
    }
    http_response response{
        .content_type = "text/event-stream", .headers = {}, .body = {}, .stream = {}};
    response.stream = [it, source, first](const chunk_writer& write)
    {
        response_item item = first;
        while (auto* token = std::get_if<stream_token>(&item))
        {
            if (!write(encode_chunk(it->header, token->text)))
            {
                source->cancel();
                return;
            }
            item = source->next();
        }
        if (auto* end = std::get_if<completion_end>(&item))
        {
            write(encode_stream_end(it->header, *end));
            return;
        }
        write(encode_stream_failure(std::get<failure>(item)));
    };
    return response;
}

http_response request_handler::completion(const http_request& request, bool chat)
{
    context_.counters.increment("banyanshunt_requests_total", {{"kind", "completion"}});
    auto it = begin(request, chat);
    if (!it)
    {
        return refusal_response(context_.counters, it.error());
    }
    return (*it)->stream ? streamed_response(*it) : full_response(*it);
}

http_response request_handler::models(const http_request& request)
{
    auto state = context_.state.get();
    auto holder = check_key(*state, bearer_token(request));
    if (!holder)
    {
        return refusal_response(context_.counters, holder.error());
    }
    std::vector<std::string> names;
    for (const auto& [id, entry] : state->models)
    {
        if (entry->value)
        {
            names.push_back(id.str());
        }
    }
    for (const auto& [id, entry] : state->adapters)
    {
        if (entry->value)
        {
            names.push_back(id.str());
        }
    }
    return {.headers = {}, .body = encode_models(names), .stream = {}};
}

http_response request_handler::plain_call(const http_request& request)
{
    context_.counters.increment("banyanshunt_requests_total", {{"kind", "service"}});
    running_count counted(running_);
    if (draining_)
    {
        return refusal_response(context_.counters, draining_refusal());
    }
    return service_calls_.handle(request, new_request_id());
}

void request_handler::sweep()
{
    auto state = context_.state.get();
    std::set<server_id> leaving;
    for (const auto& [id, entry] : state->servers)
    {
        if (!entry->value || entry->value->leaving)
        {
            leaving.insert(id);
        }
    }
    context_.dispatcher.sweep([&state](const key_id& key, const workspace_id& workspace)
                              { return is_key_valid(*state, key, workspace); },
                              std::move(leaving));
}

} // namespace banyanshunt
