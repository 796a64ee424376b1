#include "serve/active_request.hpp"

#include <algorithm>

#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include "state/errors.hpp"

namespace banyanshunt
{

namespace
{

/// Deadline of a request that states none: the longest usual one of the routes.
constexpr milliseconds default_deadline{30000};
/// A request waits this part of its time at most for a server; later ones seldom end in time.
constexpr double longest_wait_part = 0.45;
/// Callers abandon a stream whose first event is not there after the longest of these: a fixed
/// time, and multiples of the route's objective and of the longest pause between events.
constexpr milliseconds least_patience{2000};
constexpr int objectives_of_patience = 4;
constexpr int gaps_of_patience = 8;
/// The part of a caller's patience that a request may wait for a server.
constexpr double patience_part = 0.85;
/// How often a request that waits looks again, if nothing woke it before.
constexpr milliseconds look_again{100};
/// Sends of one request that servers refused; beyond it the fleet is too full to go on.
constexpr int most_refused_sends = 6;
/// What a run needs to be of use after it was sent.
constexpr milliseconds least_left{40};
/// The spread of the times at which refused callers come back.
constexpr int retry_spread_ms = 400;

} // namespace

active_request::active_request(host_context& core, std::shared_ptr<caller_connection> caller,
                               caller_request request)
    : core_(core), caller_(std::move(caller)), request_(std::move(request)), arrived_(core.now()),
      deadline_timer_(caller_->stream.get_executor()), guard_timer_(caller_->stream.get_executor())
{
    for (const auto& field : request_)
    {
        platform::read_caller_field({field.name_string().data(), field.name_string().size()},
                                    {field.value().data(), field.value().size()}, fields_);
    }
    deadline_ = arrived_ + fields_.deadline.value_or(default_deadline);
    keep_alive_ = request_.keep_alive();
}

milliseconds active_request::left() const
{
    return std::chrono::floor<milliseconds>(deadline_ - core_.now());
}

bool active_request::repeatable() const
{
    return route_->kind == request_kind::idempotent ||
           (route_->kind == request_kind::stream && route_->resumable);
}

const std::string& active_request::wait_name() const
{
    return fields_.model.empty() ? service_.str() : fields_.model.str();
}

std::int64_t active_request::token_cost() const
{
    if (!workspace_->counts_tokens)
    {
        return 1;
    }
    return fields_.prompt_tokens ? *fields_.prompt_tokens + fields_.output_tokens
                                 : workspace_->default_tokens;
}

std::optional<active_request::refusal> active_request::check_allowed()
{
    if (!core_.config)
    {
        return refusal{
            .status = 503, .reason = "state_unavailable", .retry_after = milliseconds(500)};
    }
    bool fresh = core_.config_is_fresh(core_.now());
    config_ = core_.config;
    route_ = config_->find_route(fields_.host, std::string(request_.target()));
    workspace_ = nullptr;
    if (!route_)
    {
        return fresh ? refusal{.status = 404, .reason = "not_found", .retry_after = {}}
                     : refusal{.status = 503,
                               .reason = "state_unavailable",
                               .retry_after = milliseconds(500)};
    }
    if (route_->open_to_all || config_->workspaces.empty())
    {
        return std::nullopt;
    }
    if (!fresh && core_.settings.bounds.refuse_when_stale)
    {
        return refusal{
            .status = 503, .reason = "state_unavailable", .retry_after = milliseconds(500)};
    }
    auto owner = config_->key_owner.find(fields_.api_key);
    if (owner == config_->key_owner.end())
    {
        return refusal{.status = 401,
                       .reason = fields_.api_key.empty() ? "key_missing" : "key_refused",
                       .retry_after = {}};
    }
    workspace_ = &config_->workspaces.at(owner->second);
    return std::nullopt;
}

std::optional<active_request::refusal> active_request::admit()
{
    if (auto why = check_allowed())
    {
        return why;
    }
    deadline_ = std::min(deadline_, arrived_ + route_->timeout);
    priority_ = workspace_ && workspace_->priority ? *workspace_->priority : route_->priority;
    int sum = 0;
    for (const auto& it : route_->services)
    {
        sum += std::max(it.weight, 0);
    }
    int drawn = std::uniform_int_distribution<int>(0, std::max(sum - 1, 0))(core_.random);
    service_ = route_->services.front().service;
    for (const auto& it : route_->services)
    {
        drawn -= std::max(it.weight, 0);
        if (drawn < 0)
        {
            service_ = it.service;
            break;
        }
    }
    return std::nullopt;
}

task<std::optional<active_request::refusal>> active_request::acquire_tokens()
{
    if (!workspace_ || workspace_->rate <= 0)
    {
        co_return std::nullopt;
    }
    std::int64_t cost = token_cost();
    workspace_id workspace = workspace_->name;
    double rate = workspace_->rate;
    if (co_await core_.resources->acquire_tokens(workspace, tokens(cost)))
    {
        charged_ = cost;
        co_return std::nullopt;
    }
    auto back = milliseconds(static_cast<std::int64_t>(1000.0 * static_cast<double>(cost) / rate *
                                                       static_cast<double>(core_.host_count)));
    co_return refusal{
        .status = 429, .reason = "over_rate", .retry_after = std::max(back, milliseconds(300))};
}

task<bool> active_request::run()
{
    ++core_.counters.requests;
    ++core_.requests_open;
    auto self = shared_from_this();
    if (core_.stopping && core_.now() > core_.refuse_from)
    {
        // There is no time left to see it through.
        co_await refuse({.status = 503, .reason = "draining", .retry_after = milliseconds(100)});
        --core_.requests_open;
        co_return false;
    }
    auto refused = admit();
    if (!refused)
    {
        arm();
        refused = co_await acquire_tokens();
    }
    if (refused)
    {
        stop_waiting();
        co_await refuse(*refused);
        --core_.requests_open;
        co_return keep_alive_ && !caller_->closed;
    }
    auto end = attempt_result::not_run;
    while (!caller_->closed && !expired_)
    {
        auto server = co_await find_server();
        if (!server || caller_->closed || expired_)
        {
            break;
        }
        // The configuration may have changed while the request waited; what counts is now.
        if (auto why = check_allowed(); why && sends_ == 0)
        {
            stop_waiting();
            co_await refuse(*why);
            --core_.requests_open;
            co_return keep_alive_ && !caller_->closed;
        }
        else if (why)
        {
            break;
        }
        bool still_there = std::any_of(route_->services.begin(), route_->services.end(),
                                       [&](const auto& it) { return it.service == service_; });
        if (!still_there)
        {
            service_ = route_->services.front().service;
            continue;
        }
        if (sends_ > 0 && !core_.budget(service_).acquire(core_.host_count, core_.now()))
        {
            last_reason_ = "retry_budget";
            break;
        }
        if (sends_ == 0)
        {
            core_.budget(service_).record_request(core_.host_count, core_.now());
        }
        else
        {
            ++core_.counters.retries;
        }
        end = co_await attempt(*server);
        if (end == attempt_result::delivered || end == attempt_result::caller_left)
        {
            break;
        }
        bool again = end == attempt_result::not_run ? sends_ < most_refused_sends
                                                    : repeatable() && runs_ < route_->max_attempts;
        if (!again)
        {
            break;
        }
        if (end != attempt_result::not_run)
        {
            tried_.insert(*server);
        }
    }
    stop_waiting();
    co_await settle(end);
    --core_.requests_open;
    co_return keep_alive_ && !caller_->closed;
}

bool active_request::out_of_time(milliseconds expected) const
{
    auto whole = std::chrono::duration<double, std::milli>(deadline_ - arrived_);
    auto latest = arrived_ + std::chrono::duration_cast<nanoseconds>(whole * longest_wait_part);
    if (route_->kind == request_kind::stream && !head_sent_)
    {
        auto patience = std::max({least_patience, objectives_of_patience * route_->objective,
                                  gaps_of_patience * route_->event_gap});
        latest = std::min(
            latest, arrived_ + std::chrono::duration_cast<nanoseconds>(patience * patience_part));
    }
    if (sends_ > 0)
    {
        latest = deadline_ - least_left;
    }
    if (core_.stopping)
    {
        // One that waits would be cut off when this host ends; its caller comes back to another.
        latest = std::min(latest, head_sent_ ? core_.stop_deadline : core_.refuse_from);
    }
    return core_.now() + expected > latest;
}

task<std::optional<server_id>> active_request::find_server()
{
    instant began = core_.now();
    server_id wished_at;
    instant wished_since;
    while (!caller_->closed && !expired_)
    {
        server_criteria need{.service = service_,
                             .target = {.model = fields_.model, .adapter = fields_.adapter},
                             .tried = tried_};
        const auto* service = core_.config->find_service(service_);
        const engine_spec* engine = service && service->engine ? &*service->engine : nullptr;
        auto choice = core_.servers.choose(need, engine, core_.now());
        waited_ = std::chrono::floor<milliseconds>(core_.now() - began);
        if (choice.action == server_choice::action_kind::send)
        {
            auto more = engine ? core_.servers.choose_extra_replica(need, *engine, core_.now())
                               : std::nullopt;
            if (more && core_.may_request_replica(need.target.model))
            {
                core_.resources->request_load(more->server,
                                              {.model = need.target.model, .adapter = {}}, waited_);
            }
            co_return choice.server;
        }
        if (choice.action == server_choice::action_kind::none && !tried_.empty())
        {
            tried_.clear();
            continue;
        }
        last_reason_ =
            choice.action == server_choice::action_kind::full ? "queue_full" : "no_replica";
        nanoseconds wait = look_again;
        if (choice.action == server_choice::action_kind::load && choice.loading)
        {
            wait = std::clamp(choice.expected_wait, milliseconds(1), look_again);
        }
        else if (choice.action == server_choice::action_kind::load &&
                 (choice.server != wished_at || core_.now() - wished_since >= look_again))
        {
            wished_at = choice.server;
            wished_since = core_.now();
            core_.resources->request_load(choice.server, need.target, waited_);
        }
        // The wish goes out also for a request that cannot wait for it: its caller comes back.
        if (out_of_time(choice.expected_wait))
        {
            co_return std::nullopt;
        }
        co_await core_.waiting.wait(wait_name(), priority_, arrived_, wait);
    }
    co_return std::nullopt;
}

void active_request::arm()
{
    auto self = weak_from_this();
    auto expire_at = deadline_ - core_.now();
    deadline_timer_.expires_after(expire_at);
    deadline_timer_.async_wait(
        [self](boost::system::error_code ec)
        {
            auto it = self.lock();
            if (!ec && it)
            {
                it->expire();
            }
        });
    caller_->watch(
        [self]
        {
            auto it = self.lock();
            if (it && it->active_)
            {
                it->active_->close();
            }
        });
}

void active_request::expire()
{
    expired_ = true;
    if (active_)
    {
        active_->close();
    }
}

void active_request::stop_waiting()
{
    deadline_timer_.cancel();
    guard_timer_.cancel();
    caller_->unwatch();
}

void active_request::log_end(const char* outcome, int status)
{
    bool delivered = std::string_view(outcome) == "answered";
    core_.stats.increment("banyanshunt_requests_total",
                          {{"outcome", outcome}, {"reason", delivered ? "" : last_reason_}});
    core_.stats.observe("banyanshunt_request_seconds", core_.now() - arrived_,
                        {{"outcome", outcome}});
    core_.stats.observe("banyanshunt_wait_seconds", waited_);
    if (first_byte_.count() > 0)
    {
        core_.stats.observe("banyanshunt_first_event_seconds", first_byte_);
    }
    core_.log.write(
        "request_end",
        "request={} outcome={} status={} reason={} route={} workspace={} model={}{}{} "
        "tokens={} server={} server_load={} sends={} waited_ms={} first_ms={} took_ms={} config={} "
        "config_age_ms={}",
        fields_.id.str(), outcome, status, last_reason_, route_ ? route_->name.str() : "-",
        workspace_ ? workspace_->name.str() : "-",
        fields_.model.empty() ? "-" : fields_.model.str(), fields_.adapter.empty() ? "" : "/",
        fields_.adapter.str(), charged_, last_server_.empty() ? "-" : last_server_.str(),
        last_load_, sends_, waited_.count(), std::chrono::floor<milliseconds>(first_byte_).count(),
        std::chrono::floor<milliseconds>(core_.now() - arrived_).count(),
        config_ ? config_->version : 0,
        core_.config_confirmed_at
            ? std::chrono::floor<milliseconds>(core_.now() - *core_.config_confirmed_at).count()
            : -1);
}

task<void> active_request::settle(attempt_result end)
{
    if (end == attempt_result::delivered)
    {
        ++core_.counters.answered;
        log_end("answered", kept_status_);
        co_return;
    }
    if (caller_->closed)
    {
        ++core_.counters.cancelled;
        log_end("caller_left", 0);
        co_return;
    }
    if (head_sent_)
    {
        // The caller has a part of a stream; closing without its end says that it is not whole.
        ++core_.counters.failed;
        log_end("stream_cut", 0);
        caller_->abort();
        co_return;
    }
    if (!kept_answer_.empty())
    {
        ++core_.counters.failed;
        log_end("server_failure", kept_status_);
        co_await caller_->write(kept_answer_);
        co_return;
    }
    if (may_have_run_)
    {
        co_await refuse({.status = expired_ ? 504 : 502,
                         .reason = expired_ ? "deadline" : "bad_answer",
                         .retry_after = {}});
        co_return;
    }
    auto back =
        milliseconds(300 + std::uniform_int_distribution<int>(0, retry_spread_ms)(core_.random));
    co_await refuse(
        {.status = 503, .reason = expired_ ? "deadline" : last_reason_, .retry_after = back});
}

task<bool> active_request::refuse(refusal why)
{
    ++(why.status == 502 || why.status == 504 ? core_.counters.failed : core_.counters.refused);
    last_reason_ = why.reason;
    bool not_run = why.status != 502 && why.status != 504;
    if (not_run && charged_ > 0 && workspace_)
    {
        core_.ledger.release(resource_id(workspace_->name.str()), tokens(charged_), core_.now());
    }
    log_end(not_run ? "refused" : "failed", why.status);
    keep_alive_ = keep_alive_ && !core_.stopping;
    std::string body = fmt::format("{{\"error\":{{\"reason\":\"{}\",\"run\":\"{}\"}}}}", why.reason,
                                   not_run ? "not_run" : "may_have_run");
    std::string answer = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n", why.status,
        std::string_view(
            http::obsolete_reason(http::int_to_status(static_cast<unsigned>(why.status)))),
        body.size());
    if (why.retry_after)
    {
        answer += fmt::format("Retry-After: {:.2f}\r\n",
                              static_cast<double>(why.retry_after->count()) / 1000);
    }
    if (!keep_alive_)
    {
        answer += "Connection: close\r\n";
    }
    answer += "\r\n";
    if (request_.method() != http::verb::head)
    {
        answer += body;
    }
    co_return co_await caller_->write(answer);
}

} // namespace banyanshunt
