#include "entry/request_handler.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "coordination/random_source.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::int64_t milliseconds_in_second = 1000;

std::string bearer_of(const http_request& request)
{
    std::string value = request.header("authorization");
    return value.starts_with(bearer_prefix) ? value.substr(bearer_prefix.size()) : std::string();
}

// A caller may name a shorter deadline than the host's own in X-Deadline-Ms.
milliseconds deadline_of(const http_request& request, milliseconds longest)
{
    std::string text = request.header("x-deadline-ms");
    std::int64_t n = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    bool good = ec == std::errc() && end == text.data() + text.size() && n > 0;
    return good ? std::min(milliseconds(n), longest) : longest;
}

std::string retry_after_seconds(milliseconds after)
{
    auto rounded_up = (after.count() + milliseconds_in_second - 1) / milliseconds_in_second;
    return std::to_string(std::max<std::int64_t>(rounded_up, 1));
}

// Counts a request as running from its construction to its end.
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

} // namespace

// One admitted completion with what it holds until it ends.
struct request_handler::job
{
    explicit job(std::atomic<int>& count) : counted(count) {}

    running_count counted;
    admitted_completion admitted;
    reservation held;
    answer_header header;
    completion_request request;
    bool stream = false;
    instant begun;
    instant deadline;
};

request_handler::request_handler(request_context context)
    : context_(std::move(context)), next_request_(0), life_(system_seeded()())
{
}

request_id request_handler::new_request_id()
{
    return request_id(
        fmt::format("{}-{:x}-{}", context_.settings.host.name, life_, next_request_++));
}

http_reply request_handler::refuse(const failure& why)
{
    context_.counters.count("banyanshunt_refusals_total",
                            {{"reason", why.code.message()}, {"run", to_string(why.run)}});
    http_reply reply{
        .status = status_of(why), .headers = {}, .body = encode_failure(why), .stream = {}};
    if (why.retry_after)
    {
        reply.headers.push_back({"Retry-After", retry_after_seconds(*why.retry_after)});
    }
    return reply;
}

verdict<std::shared_ptr<request_handler::job>> request_handler::begin(const http_request& request,
                                                                      bool chat)
{
    auto it = std::make_shared<job>(running_);
    if (draining_)
    {
        return failure{.run = run_state::not_run,
                       .code = errc::draining,
                       .detail = "this host is stopping",
                       .retry_after = milliseconds(milliseconds_in_second)};
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
    it->begun = boot_clock().now();
    auto held = context_.shares.reserve(admitted->workspace, admitted->cost, it->begun);
    if (!held)
    {
        return held.error();
    }
    it->admitted = *admitted;
    it->held = *held;
    it->stream = asked->stream;
    it->deadline = it->begun + deadline_of(request, context_.settings.deadline);
    it->header = {.id = new_request_id(), .name = asked->name, .chat = chat};
    it->request = {.id = it->header.id,
                   .model = admitted->model,
                   .adapter = admitted->adapter,
                   .prompt = asked->prompt,
                   .max_tokens = asked->max_tokens,
                   .priority = 0};
    return it;
}

// Waits for a replica and runs on it; a replica that refused did not run it, so another may.
verdict<completion_end> request_handler::run(job& it, const token_sink& sink)
{
    replica_wait wait{.filter = {.model = it.admitted.model, .adapter = it.admitted.adapter},
                      .workspace = it.admitted.workspace,
                      .deadline = it.deadline};
    context_.wake_demand();
    auto replica = context_.board.wait_for(wait);
    if (!replica)
    {
        context_.shares.settle(it.held, millitokens(0), boot_clock().now());
        return replica.error();
    }
    bool first = true;
    auto note_first = [&](const stream_token& token)
    {
        if (std::exchange(first, false))
        {
            context_.counters.observe("banyanshunt_first_token_seconds",
                                      boot_clock().now() - it.begun);
        }
        return sink(token);
    };
    context_.board.add_in_flight(replica->server, 1);
    auto end = run_completion(context_.engine, replica->address, it.request,
                              {.silence = context_.settings.silence}, note_first);
    context_.board.add_in_flight(replica->server, -1);
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
    context_.shares.settle(it.held, used, boot_clock().now());
    return end;
}

http_reply request_handler::whole_answer(const std::shared_ptr<job>& it)
{
    std::string text;
    auto end = run(*it,
                   [&text](const stream_token& token)
                   {
                       text += token.text;
                       return true;
                   });
    if (!end)
    {
        return refuse(end.error());
    }
    return {.headers = {}, .body = encode_answer(it->header, text, *end), .stream = {}};
}

http_reply request_handler::streamed_answer(const std::shared_ptr<job>& it)
{
    auto answer = std::make_shared<answer_stream>([this, it](const token_sink& sink)
                                                  { return run(*it, sink); });
    answer_item first = answer->next();
    if (auto* why = std::get_if<failure>(&first))
    {
        return refuse(*why);
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
        return refuse(it.error());
    }
    return (*it)->stream ? streamed_answer(*it) : whole_answer(*it);
}

http_reply request_handler::models(const http_request& request)
{
    auto state = context_.state.get();
    auto holder = check_key(*state, bearer_of(request));
    if (!holder)
    {
        return refuse(holder.error());
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

// Sends the call to one server of the route; the next is tried only after a sure `not_run`.
verdict<service_answer> request_handler::call_service(const admitted_call& admitted,
                                                      const http_request& request,
                                                      const request_id& id)
{
    service_call call{.id = id,
                      .method = request.method,
                      .path = request.target,
                      .headers = {},
                      .body = request.body};
    failure last{.run = run_state::not_run,
                 .code = errc::no_replica,
                 .detail = fmt::format("no server of route {} can be reached", admitted.id.str()),
                 .retry_after = milliseconds(milliseconds_in_second)};
    auto state = context_.state.get();
    for (const auto& name : admitted.route.servers)
    {
        const server_object* server = find_object(state->servers, name);
        if (!server || server->leaving)
        {
            continue;
        }
        auto answer = context_.service.call(server->address, call, context_.settings.service_limit);
        if (answer || answer.error().run != run_state::not_run)
        {
            return answer;
        }
        last.detail = answer.error().detail;
    }
    return last;
}

http_reply request_handler::plain_call(const http_request& request)
{
    context_.counters.count("banyanshunt_requests_total", {{"kind", "service"}});
    running_count counted(running_);
    if (draining_)
    {
        return refuse({.run = run_state::not_run,
                       .code = errc::draining,
                       .detail = "this host is stopping",
                       .retry_after = milliseconds(milliseconds_in_second)});
    }
    auto admitted = admit_call(*context_.state.get(), request.path, bearer_of(request));
    if (!admitted)
    {
        return refuse(admitted.error());
    }
    if (admitted->holder)
    {
        auto held = context_.shares.reserve(
            admitted->holder->workspace, tokens(admitted->route.cost_tokens), boot_clock().now());
        if (!held)
        {
            return refuse(held.error());
        }
    }
    auto answer = call_service(*admitted, request, new_request_id());
    if (!answer)
    {
        return refuse(answer.error());
    }
    return {.status = answer->status,
            .content_type = answer->content_type,
            .headers = {},
            .body = answer->body,
            .stream = {}};
}

} // namespace banyanshunt
