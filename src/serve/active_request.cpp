#include "serve/active_request.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include "serve/prompt_trial.hpp"
#include "serve/refusal_response.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

namespace
{

/// Deadline of a request that states none: the longest timeout that is usual for routes.
constexpr milliseconds default_deadline{30000};
/// Maximum sends of one request that servers refused; beyond it the fleet is overloaded.
constexpr int max_refused_sends = 6;
/// Retry-After of a stopping host: other hosts can take the request at once, and the balancer sends
/// a repeat to one of them.
constexpr milliseconds other_host_delay{100};
/// How often a request that waits for another one with a suspected part checks whether it has
/// ended, if no wake-up came before.
constexpr milliseconds trial_recheck_interval{100};
/// Random spread of Retry-After, so that refused callers do not all return at once.
constexpr int retry_jitter_ms = 400;

std::int64_t to_ms(nanoseconds length)
{
    return std::chrono::floor<milliseconds>(length).count();
}

} // namespace

active_request::active_request(host_context& context, std::shared_ptr<caller_connection> caller,
                               caller_request request, memory_reservation memory)
    : context_(context), caller_(std::move(caller)), request_(std::move(request)),
      memory_(std::move(memory)), arrived_(context.now()),
      deadline_timer_(caller_->stream.get_executor()),
      inactivity_timer_(caller_->stream.get_executor())
{
    for (const auto& field : request_)
    {
        platform::read_caller_field({field.name_string().data(), field.name_string().size()},
                                    {field.value().data(), field.value().size()}, fields_);
    }
    events_ = stream_continuity(fields_.last_event_id);
    deadline_ = arrived_ + fields_.deadline.value_or(default_deadline);
    keep_alive_ = request_.keep_alive();
}

milliseconds active_request::remaining() const
{
    return std::chrono::floor<milliseconds>(deadline_ - context_.now());
}

bool active_request::repeatable() const
{
    return route_->kind == request_kind::idempotent ||
           (route_->kind == request_kind::stream && route_->resumable);
}

bool active_request::may_run_again(int runs) const
{
    bool continuable = !head_sent_ || events_.delivered();
    return repeatable() && continuable && runs < route_->max_attempts;
}

const engine_spec* active_request::engine() const
{
    const auto* service = context_.config ? context_.config->find_service(service_) : nullptr;
    return service && service->engine ? &*service->engine : nullptr;
}

const std::vector<prompt_part>& active_request::shared_parts() const
{
    static const std::vector<prompt_part> none;
    return engine() ? fields_.shared_parts : none;
}

std::string active_request::wait_key() const
{
    auto model = target().model;
    return model.empty() ? service_.str() : model.str();
}

task<bool> active_request::run()
{
    ++context_.counters.requests;
    auto self = shared_from_this();
    context_.open_requests.insert(self);
    co_await respond();
    context_.open_requests.erase(self);
    co_return keep_alive_ && !caller_->closed;
}

void active_request::record_during_stop(const char* verdict)
{
    context_.stats.increment("banyanshunt_stop_requests_total", {{"verdict", verdict}});
    context_.log.write(
        "stop_request",
        "request={} verdict={} since_stop_ms={} grace_left_ms={} deadline_left_ms={} "
        "run_estimate_ms={} model={}{}{} output_tokens={} connection_age_ms={} "
        "connection_requests={}",
        fields_.id.str(), verdict, to_ms(arrived_ - context_.stop->requested_at()),
        to_ms(context_.stop->deadline() - context_.now()), remaining().count(),
        run_estimate() ? to_ms(*run_estimate()) : -1,
        fields_.model.empty() ? "-" : fields_.model.str(), fields_.adapter.empty() ? "" : "/",
        fields_.adapter.str(), fields_.output_tokens, to_ms(arrived_ - caller_->opened_at),
        caller_->requests);
}

void active_request::record_cut()
{
    const char* phase = !exchange_              ? "waiting"
                        : exchange_->complete() ? "finishing"
                        : head_sent_            ? "answering"
                                                : "sent";
    context_.stats.increment("banyanshunt_stop_cuts_total", {{"phase", phase}});
    instant now = context_.now();
    context_.log.write(
        "stop_cut",
        "request={} phase={} since_stop_ms={} held_ms={} deadline_left_ms={} model={}{}{} "
        "output_tokens={} server={} sends={} waited_ms={} first_ms={} silent_ms={} "
        "longest_silence_ms={} last_event={}",
        fields_.id.str(), phase, to_ms(arrived_ - context_.stop->requested_at()),
        to_ms(now - arrived_), remaining().count(),
        fields_.model.empty() ? "-" : fields_.model.str(), fields_.adapter.empty() ? "" : "/",
        fields_.adapter.str(), fields_.output_tokens,
        last_server_.empty() ? "-" : last_server_.str(), sends_, waited_.count(),
        to_ms(time_to_first_byte_), exchange_ ? to_ms(now - exchange_->received_at()) : -1,
        exchange_ ? to_ms(exchange_->longest_silence()) : -1,
        events_.last_id().empty() ? "-" : events_.last_id());
}

void active_request::end_for_stop()
{
    record_cut();
    end(end_cause::host_stop);
}

task<void> active_request::respond()
{
    auto refused = co_await admit();
    if (!refused && context_.stop)
    {
        bool taken = ends_before_stop(milliseconds(0));
        record_during_stop(taken ? "taken" : "refused");
        if (!taken)
        {
            refused = refusal{.status = 503, .reason = "draining", .retry_after = other_host_delay};
        }
    }
    if (!refused && has_banned_part())
    {
        refused = banned;
    }
    if (!refused)
    {
        start_timers();
        refused = co_await acquire_tokens();
    }
    if (refused)
    {
        cancel_timers();
        co_await refuse(*refused);
        co_return;
    }
    context_.arrivals.record(wait_key(), 1, context_.now());
    auto end = attempt_result::not_run;
    while (!caller_->closed && !ended())
    {
        co_await await_end_check();
        auto server = co_await find_server();
        if (!server || caller_->closed || ended())
        {
            break;
        }
        // The configuration may have changed during the wait; the current one decides.
        if (auto cause = co_await confirm_allowed(); cause && sends_ == 0)
        {
            cancel_timers();
            co_await refuse(*cause);
            co_return;
        }
        else if (cause)
        {
            break;
        }
        if (!routed_to_service(*route_))
        {
            service_ = route_->services.front().service;
            continue;
        }
        if (!ends_before_stop(milliseconds(0)))
        {
            last_reason_ = "draining";
            break;
        }
        if (context_.evacuation_may_be_unknown(context_.now()))
        {
            co_await confirm_evacuations();
            const auto* known = context_.servers.find(*server);
            if (!known || context_.servers.is_evacuated(*known))
            {
                continue;
            }
        }
        list_unconfirmed_ = false;
        if (context_.judge_server_list() == list_verdict::confirm_first)
        {
            co_await confirm_server_list();
            list_unconfirmed_ = context_.judge_server_list() == list_verdict::confirm_first;
            if (!list_unconfirmed_)
            {
                // The server may be known to leave now.
                continue;
            }
        }
        prompt_trial trial(context_, shared_parts());
        if (!trial.held())
        {
            if (out_of_time(milliseconds(0)))
            {
                last_reason_ = "prompt_suspected";
                break;
            }
            co_await context_.waiting.wait(host_context::quarantine_wait_key, priority_, arrived_,
                                           trial_recheck_interval);
            continue;
        }
        if (sends_ > 0 && !std::exchange(repeat_acquired_, false) &&
            !context_.budget(service_).acquire(context_.host_count, context_.now()))
        {
            last_reason_ = "retry_budget";
            break;
        }
        if (sends_ == 0 && !request_counted_)
        {
            request_counted_ = true;
            context_.budget(service_).record_request(context_.host_count, context_.now());
        }
        else if (sends_ > 0)
        {
            ++context_.counters.retries;
        }
        end = co_await attempt(*server);
        if (end == attempt_result::delivered || end == attempt_result::caller_left)
        {
            break;
        }
        bool may_retry = end == attempt_result::not_run
                             ? sends_ + failed_connects_ < max_refused_sends
                             : may_run_again(runs_);
        if (!may_retry)
        {
            break;
        }
        if (end != attempt_result::not_run)
        {
            tried_.insert(*server);
        }
    }
    cancel_timers();
    co_await finish(end);
}

void active_request::start_timers()
{
    auto self = weak_from_this();
    auto expire_at = deadline_ - context_.now();
    deadline_timer_.expires_after(expire_at);
    deadline_timer_.async_wait(
        [self](boost::system::error_code ec)
        {
            auto it = self.lock();
            if (!ec && it)
            {
                it->end(end_cause::deadline);
            }
        });
    caller_->watch(
        [self]
        {
            auto it = self.lock();
            if (it && it->exchange_)
            {
                it->exchange_->close();
            }
        });
}

void active_request::end(end_cause cause)
{
    end_cause_ = cause;
    if (exchange_)
    {
        exchange_->close();
    }
    context_.waiting.wake(wait_key());
}

const char* active_request::end_reason(const char* otherwise) const
{
    switch (end_cause_)
    {
    case end_cause::deadline:
        return "deadline";
    case end_cause::host_stop:
        return "host_stopped";
    default:
        return otherwise;
    }
}

void active_request::cancel_timers()
{
    deadline_timer_.cancel();
    inactivity_timer_.cancel();
    caller_->unwatch();
}

void active_request::record_duration(const model_id& model, instant sent_at)
{
    instant now = context_.now();
    instant first_at = first_byte_at_.value_or(now);
    context_.durations.record(service_, model,
                              {.first = first_at - sent_at,
                               .rest = now - first_at,
                               .output = tokens(fields_.output_tokens)},
                              now);
}

void active_request::record_target_end(bool delivered)
{
    bool entitled = last_reason_ != std::string_view("over_rate") &&
                    last_reason_ != std::string_view("key_refused") &&
                    last_reason_ != std::string_view(banned.reason) &&
                    last_reason_ != std::string_view("key_missing");
    const auto unit = target();
    if (unit.model.empty() || !(delivered || entitled))
    {
        return;
    }
    int requests = context_.unserved.requests(unit);
    auto change = context_.unserved.record(unit, delivered, context_.now());
    if (change != unserved_targets::change::none)
    {
        bool unserved = change == unserved_targets::change::became_unserved;
        context_.log.write(unserved ? "target_unserved" : "target_served",
                           "model={}{}{} requests={} reason={}", unit.model.str(),
                           unit.adapter.empty() ? "" : "/", unit.adapter.str(),
                           requests + (unserved ? 1 : 0), unserved ? last_reason_ : "");
    }
}

void active_request::log_end(const char* outcome, int status)
{
    bool delivered = std::string_view(outcome) == "answered";
    record_target_end(delivered);
    context_.stats.increment("banyanshunt_requests_total",
                             {{"outcome", outcome}, {"reason", delivered ? "" : last_reason_}});
    context_.stats.observe("banyanshunt_request_seconds", context_.now() - arrived_,
                           {{"outcome", outcome}});
    context_.stats.observe("banyanshunt_wait_seconds", waited_);
    if (time_to_first_byte_.count() > 0)
    {
        context_.stats.observe("banyanshunt_first_event_seconds", time_to_first_byte_);
    }
    const char* late = delivered && time_to_first_byte_.count() > 0 ? late_cause() : "-";
    if (late != std::string_view("-"))
    {
        context_.stats.increment("banyanshunt_streams_total", {{"late", late}});
    }
    context_.log.write(
        "request_end",
        "request={} outcome={} status={} reason={} config={} config_age_ms={} config_end={} "
        "route={} workspace={} model={}{}{} "
        "tokens={} output_tokens={} server={} server_load={} sends={} waited_ms={} first_ms={} "
        "took_ms={} servers_age_ms={} connect_ms={} load={} "
        "load_server={} late={} longest_gap_ms={}",
        fields_.id.str(), outcome, status, last_reason_, config_ ? config_->version : 0,
        config_age_.count(), config_end_.count(), route_ ? route_->name.str() : "-",
        workspace_ ? workspace_->name.str() : "-",
        fields_.model.empty() ? "-" : fields_.model.str(), fields_.adapter.empty() ? "" : "/",
        fields_.adapter.str(), charged_, fields_.output_tokens,
        last_server_.empty() ? "-" : last_server_.str(), last_load_, sends_, waited_.count(),
        std::chrono::floor<milliseconds>(time_to_first_byte_).count(),
        std::chrono::floor<milliseconds>(context_.now() - arrived_).count(), servers_age_.count(),
        connect_time_.count(), load_route_ ? to_text(*load_route_) : "-",
        load_server_.empty() ? "-" : load_server_.str(), late, to_ms(longest_gap_));
}

task<void> active_request::finish(attempt_result end)
{
    if (end == attempt_result::delivered)
    {
        ++context_.counters.answered;
        log_end("answered", kept_status_);
        co_return;
    }
    if (caller_->closed)
    {
        ++context_.counters.cancelled;
        log_end("caller_left", 0);
        co_return;
    }
    if (head_sent_)
    {
        // The caller already has some of the stream; closing without the terminating chunk shows
        // that it is incomplete.
        ++context_.counters.failed;
        last_reason_ = end_reason(last_reason_);
        log_end("stream_cut", 0);
        caller_->abort();
        co_return;
    }
    if (!kept_response_.empty())
    {
        ++context_.counters.failed;
        log_end("server_failure", kept_status_);
        co_await caller_->write(kept_response_);
        co_return;
    }
    if (may_have_run_)
    {
        co_await refuse({.status = end_cause_ == end_cause::deadline ? 504 : 502,
                         .reason = end_reason("bad_answer"),
                         .retry_after = {}});
        co_return;
    }
    if (last_reason_ == std::string_view(banned.reason))
    {
        co_await refuse(banned);
        co_return;
    }
    auto retry_after =
        milliseconds(300 + std::uniform_int_distribution<int>(0, retry_jitter_ms)(context_.random));
    const char* reason = end_reason(last_reason_);
    if (reason == std::string_view("server_limited") || reason == std::string_view("server_paused"))
    {
        retry_after = std::max(retry_after, limit_wait_);
    }
    else if (context_.stop)
    {
        retry_after = other_host_delay;
    }
    co_await refuse({.status = 503, .reason = reason, .retry_after = retry_after});
}

task<bool> active_request::refuse(refusal cause)
{
    ++(cause.status == 502 || cause.status == 504 ? context_.counters.failed
                                                  : context_.counters.refused);
    last_reason_ = cause.reason;
    bool not_run = cause.status != 502 && cause.status != 504;
    if (not_run && charged_ > 0 && workspace_)
    {
        context_.ledger.release(resource_id(workspace_->name.str()), tokens(charged_),
                                context_.now());
    }
    log_end(not_run ? "refused" : "failed", cause.status);
    keep_alive_ = keep_alive_ && !context_.stop;
    std::string response = to_text({.status = cause.status,
                                    .reason = cause.reason,
                                    .not_run = not_run,
                                    .retry_after = cause.retry_after,
                                    .keep_alive = keep_alive_,
                                    .with_body = request_.method() != http::verb::head});
    co_return co_await caller_->write(response);
}

} // namespace banyanshunt
