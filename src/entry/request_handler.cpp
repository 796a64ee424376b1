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

constexpr milliseconds come_back(1000);

} // namespace

// One admitted completion with what it holds until it ends.
struct request_handler::job
{
    explicit job(std::atomic<int>& count) : counted(count) {}

    running_count counted;
    fair_places::place place;
    admitted_completion admitted;
    reservation held;
    answer_header header;
    completion_request request;
    bool stream = false;
    instant begun;
    instant deadline;
    std::function<bool()> caller_gone;
    bool first_token = true;
    bool settled = false;
};

request_handler::request_handler(request_context context)
    : context_(std::move(context)), service_calls_(context_),
      retries_({.percent = context_.settings.requests.retry_percent}), random_(system_seeded()),
      next_request_(0), life_(system_seeded()()), readers_({.threads = context_.settings.threads})
{
}

void request_handler::count_outcome(const workspace_id& workspace, const char* result)
{
    context_.counters.count("banyanshunt_workspace_outcomes_total",
                            {{"workspace", workspace.str()}, {"result", result}});
}

request_id request_handler::new_request_id()
{
    return request_id(
        fmt::format("{}-{:x}-{}", context_.settings.host.name, life_, next_request_++));
}

verdict<std::shared_ptr<request_handler::job>> request_handler::begin(const http_request& request,
                                                                      bool chat)
{
    auto it = std::make_shared<job>(running_);
    if (draining_)
    {
        return draining_refusal();
    }
    auto asked = decode_completion(request.body, chat);
    if (!asked)
    {
        return asked.error();
    }
    completion_ask ask{.bearer = bearer_of(request),
                       .name = asked->name,
                       .prompt = asked->prompt,
                       .max_tokens = asked->max_tokens};
    auto admitted = admit_completion(*context_.state.get(), ask);
    if (!admitted)
    {
        return admitted.error();
    }
    it->place = context_.places.take(admitted->workspace);
    if (!it->place)
    {
        return no_place_refusal();
    }
    it->begun = boot_clock().now();
    it->deadline = deadline_of(request, context_.settings.deadline, it->begun);
    it->caller_gone = request.caller_gone;
    auto held = reserve_in_time(context_, {.key = admitted->key, .workspace = admitted->workspace},
                                admitted->cost, it->deadline, request.caller_gone);
    if (!held)
    {
        count_outcome(admitted->workspace, "refused");
        return held.error();
    }
    it->admitted = *admitted;
    it->held = *held;
    it->stream = asked->stream;
    it->header = {.id = new_request_id(), .name = asked->name, .chat = chat};
    it->request = {.id = it->header.id,
                   .model = admitted->model,
                   .adapter = admitted->adapter,
                   .prompt = asked->prompt,
                   .max_tokens = asked->max_tokens,
                   .priority = 0};
    return it;
}

verdict<completion_end> request_handler::run_on(job& it, const ready_replica& replica,
                                                const token_sink& sink)
{
    auto note_first = [&](const stream_token& token)
    {
        if (std::exchange(it.first_token, false))
        {
            context_.counters.observe("banyanshunt_first_token_seconds",
                                      boot_clock().now() - it.begun);
        }
        return sink(token);
    };
    instant since = boot_clock().now();
    auto end = run_completion(context_.engine, replica.address, it.request,
                              {.silence = context_.settings.silence, .first_token_by = it.deadline},
                              note_first);
    context_.board.release(replica, since,
                           end ? server_outcome::answered : outcome_of(end.error()));
    return end;
}

// The pause, or nothing when the budget of retries is spent.
std::optional<milliseconds> request_handler::pause_before_retry(int attempt)
{
    std::lock_guard lock(retry_mutex_);
    if (!retries_.take())
    {
        return std::nullopt;
    }
    return retry_pause(attempt, random_);
}

// Waits for a replica and runs on it; a replica that refused did not run it, so another may.
verdict<completion_end> request_handler::run_with_retries(job& it, const token_sink& sink)
{
    replica_wait wait{.filter = {.model = it.admitted.model,
                                 .adapter = it.admitted.adapter,
                                 .prefix = affinity_prefix(it.request.prompt),
                                 .refused_by = {}},
                      .workspace = it.admitted.workspace,
                      .key = it.admitted.key,
                      .cost = it.admitted.cost,
                      .deadline = it.deadline,
                      .caller_gone = it.caller_gone,
                      .on_wait = context_.wake_demand};
    for (int attempt = 1;; ++attempt)
    {
        auto replica = context_.board.wait_for(wait);
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
            why.retry_after = come_back;
            return why;
        }
        context_.counters.count("banyanshunt_retries_total");
        wait.filter.refused_by.insert(replica->server);
        std::this_thread::sleep_for(*pause);
    }
}

verdict<completion_end> request_handler::run(job& it, const token_sink& sink)
{
    {
        std::lock_guard lock(retry_mutex_);
        retries_.note_request();
    }
    auto end = run_with_retries(it, sink);
    count_outcome(it.admitted.workspace, end ? "answered" : "failed");
    millitokens used = it.held.amount;
    if (end)
    {
        std::int64_t cost = prompt_cost(it.request.prompt) + end->answer_tokens;
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

http_reply request_handler::whole_answer(const std::shared_ptr<job>& it)
{
    std::string text;
    auto end = run(*it,
                   [&](const stream_token& token)
                   {
                       text += token.text;
                       return !it->caller_gone || !it->caller_gone();
                   });
    if (!end)
    {
        return refusal_reply(context_.counters, end.error());
    }
    return {.headers = {}, .body = encode_answer(it->header, text, *end), .stream = {}};
}

http_reply request_handler::streamed_answer(const std::shared_ptr<job>& it)
{
    auto answer = std::make_shared<answer_stream>(readers_, [this, it](const token_sink& sink)
                                                  { return run(*it, sink); });
    answer_item first = answer->next();
    if (auto* why = std::get_if<failure>(&first))
    {
        // Without a reader it never began.
        settle(*it, millitokens(0));
        return refusal_reply(context_.counters, *why);
    }
    http_reply reply{.content_type = "text/event-stream", .headers = {}, .body = {}, .stream = {}};
    reply.stream = [it, answer, first](const piece_writer& write)
    {
        answer_item item = first;
        while (auto* token = std::get_if<stream_token>(&item))
        {
            if (!write(encode_chunk(it->header, token->text)))
            {
                answer->abandon();
                return;
            }
            item = answer->next();
        }
        if (auto* end = std::get_if<completion_end>(&item))
        {
            write(encode_stream_end(it->header, *end));
            return;
        }
        write(encode_stream_failure(std::get<failure>(item)));
    };
    return reply;
}

http_reply request_handler::completion(const http_request& request, bool chat)
{
    context_.counters.count("banyanshunt_requests_total", {{"kind", "completion"}});
    auto it = begin(request, chat);
    if (!it)
    {
        return refusal_reply(context_.counters, it.error());
    }
    return (*it)->stream ? streamed_answer(*it) : whole_answer(*it);
}

http_reply request_handler::models(const http_request& request)
{
    auto state = context_.state.get();
    auto holder = check_key(*state, bearer_of(request));
    if (!holder)
    {
        return refusal_reply(context_.counters, holder.error());
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

http_reply request_handler::plain_call(const http_request& request)
{
    context_.counters.count("banyanshunt_requests_total", {{"kind", "service"}});
    running_count counted(running_);
    if (draining_)
    {
        return refusal_reply(context_.counters, draining_refusal());
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
    context_.board.sweep([&state](const key_id& key, const workspace_id& workspace)
                         { return in_force(*state, key, workspace); },
                         std::move(leaving));
}

} // namespace banyanshunt
