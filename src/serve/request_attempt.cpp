// Sending of a request to one server and relaying of the response.

#include <algorithm>
#include <utility>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "serve/active_request.hpp"

namespace banyanshunt
{

namespace
{

/// Responses up to this size are read completely before the caller gets any of them, so that one
/// that breaks off can be requested again.
constexpr std::size_t max_buffered_response_bytes = 65536;
/// How often a request checks whether its server became unresponsive.
constexpr milliseconds inactivity_check_period{250};
constexpr int first_server_error = 500;
/// A response is sound if its server goes on for this long after it began. A part of a prompt that
/// crashes servers does so as they begin.
constexpr milliseconds sound_after{300};

std::string chunk(std::string_view bytes)
{
    std::string framed = fmt::format("{:x}\r\n", bytes.size());
    framed += bytes;
    framed += "\r\n";
    return framed;
}

} // namespace

outgoing_request active_request::server_request(const server_id& server)
{
    std::string text = fmt::format(
        "{} {} HTTP/1.1\r\n",
        std::string_view(request_.method_string().data(), request_.method_string().size()),
        std::string_view(request_.target().data(), request_.target().size()));
    // Fields named in the caller's Connection field are hop-by-hop.
    const auto named = request_[http::field::connection];
    http::token_list connection_names(named);
    for (const auto& field : request_)
    {
        std::string_view name(field.name_string().data(), field.name_string().size());
        if (platform::passes_to_server(name) && !connection_names.exists(field.name_string()))
        {
            fmt::format_to(std::back_inserter(text), "{}: {}\r\n", name,
                           std::string_view(field.value().data(), field.value().size()));
        }
    }
    platform::write_forwarded_fields({.deadline = std::max(remaining(), milliseconds(1)),
                                      .server = server,
                                      .workspace = workspace_ ? workspace_->name : workspace_id(),
                                      .priority = route_->kind == request_kind::stream
                                                      ? std::optional<int>(priority_)
                                                      : std::nullopt,
                                      .last_event_id = events_.last_id()},
                                     text);
    bool has_body = !request_.body().empty() ||
                    request_.find(http::field::content_length) != request_.end() ||
                    request_.chunked();
    if (has_body)
    {
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", request_.body().size());
    }
    text += "\r\n";
    return {.head = std::move(text), .body = request_.body()};
}

std::string active_request::response_head(const server_exchange& exchange,
                                          std::optional<std::size_t> length)
{
    std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\n", exchange.status(),
        std::string_view(exchange.head().reason().data(), exchange.head().reason().size()));
    for (const auto& field : exchange.head())
    {
        std::string_view name(field.name_string().data(), field.name_string().size());
        if (platform::passes_to_caller(name))
        {
            fmt::format_to(std::back_inserter(head), "{}: {}\r\n", name,
                           std::string_view(field.value().data(), field.value().size()));
        }
    }
    if (length)
    {
        fmt::format_to(std::back_inserter(head), "Content-Length: {}\r\n", *length);
    }
    else
    {
        head += "Transfer-Encoding: chunked\r\n";
    }
    keep_alive_ = keep_alive_ && !context_.stop;
    head += keep_alive_ ? "\r\n" : "Connection: close\r\n\r\n";
    return head;
}

void active_request::schedule_inactivity_check()
{
    inactivity_timer_.expires_after(inactivity_check_period);
    inactivity_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code ec)
        {
            auto self = weak.lock();
            if (ec || !self || !self->exchange_)
            {
                return;
            }
            if (self->gives_up_on_server())
            {
                self->exchange_->close();
                return;
            }
            self->schedule_inactivity_check();
        });
}

bool active_request::gives_up_on_server()
{
    instant now = context_.now();
    const auto* server = context_.servers.find(exchange_->server());
    auto silent_for = now - exchange_->received_at();
    bool stream = route_->kind == request_kind::stream;
    observed_silence silence{.request = silent_for,
                             .server = server ? now - server->received_at : silent_for,
                             .event = stream ? now - progressed_at_ : nanoseconds(0),
                             .event_timeout = caller_patience()};
    server_silence_options options;
    if (stream)
    {
        // Sooner a sound server may go on, and a stream that moves may find the other one full.
        options.server_timeout = max_event_wait();
    }
    auto action = judge_silence(silence, options);
    if (action == silence_action::wait || !may_repeat_after_this() ||
        (action == silence_action::move && !other_server_ready()))
    {
        return false;
    }
    // Charged now, as the request has nothing to go on with once its exchange is closed.
    if (!context_.budget(service_).acquire(context_.host_count, now))
    {
        return false;
    }
    repeat_acquired_ = true;
    context_.log.write(
        "server_silent",
        "request={} server={} result={} silent_ms={} server_silent_ms={} since_event_ms={}",
        fields_.id.str(), exchange_->server().str(),
        action == silence_action::move ? "moved" : "resent",
        std::chrono::floor<milliseconds>(silence.request).count(),
        std::chrono::floor<milliseconds>(silence.server).count(),
        std::chrono::floor<milliseconds>(silence.event).count());
    return true;
}

bool active_request::may_repeat_after_this() const
{
    int runs = runs_ + (exchange_->responded() ? 0 : 1);
    auto now_allowed = judge_admission();
    return may_run_again(runs) && !now_allowed.refused && routed_to_service(*now_allowed.route) &&
           context_.judge_server_list() != list_verdict::confirm_first &&
           ends_before_stop(milliseconds(0));
}

bool active_request::other_server_ready()
{
    auto tried = tried_;
    tried.insert(last_server_);
    server_criteria need{.service = service_, .target = target(), .tried = std::move(tried)};
    auto choice = context_.servers.choose(need, engine(), context_.now());
    if (choice.action == server_choice::action_kind::load && !choice.loading &&
        context_.may_request_replica(need.target.model))
    {
        context_.resources->request_load(choice.server, need.target, waited_);
    }
    return choice.action == server_choice::action_kind::send ||
           (choice.action == server_choice::action_kind::permit &&
            choice.expected_wait.count() == 0);
}

bool active_request::may_still_send(const server_id& server, std::int64_t start_time_ms) const
{
    bool admitted = context_.config == config_ && !ended() && !caller_->closed &&
                    (!workspace_ || !context_.settings.bounds.refuse_when_stale ||
                     context_.config_is_fresh(context_.now()));
    bool list_applies =
        list_unconfirmed_ || context_.judge_server_list() != list_verdict::confirm_first;
    return admitted && list_applies && !has_banned_part() &&
           context_.servers.accepts(server, start_time_ms, context_.now()) && permitted(server) &&
           ends_before_stop(milliseconds(0));
}

void active_request::record_write(const server_exchange& exchange)
{
    if (auto written_at = exchange.written_at())
    {
        connect_time_ = std::chrono::floor<milliseconds>(*written_at - progressed_at_);
        servers_age_ = exchange.servers_age();
    }
}

void active_request::record_events(std::string_view events)
{
    constexpr std::string_view end_of_event = "\n\n";
    instant now = context_.now();
    if (event_count_ == 0)
    {
        first_event_at_ = now;
    }
    if (time_to_first_byte_.count() > 0)
    {
        longest_gap_ = std::max(longest_gap_, now - progressed_at_);
    }
    progressed_at_ = now;
    for (auto at = events.find(end_of_event); at != std::string_view::npos;
         at = events.find(end_of_event, at + end_of_event.size()))
    {
        ++event_count_;
    }
}

void active_request::record_pace(const server_id& server)
{
    if (event_count_ > 1)
    {
        context_.servers.pace().record(server, target().model,
                                       (progressed_at_ - first_event_at_) / (event_count_ - 1),
                                       event_count_, context_.now());
    }
}

const char* active_request::late_cause() const
{
    bool late_first = route_->objective.count() > 0 && time_to_first_byte_ > route_->objective;
    bool late_gap = route_->event_gap.count() > 0 && longest_gap_ > route_->event_gap;
    return late_first ? "first" : late_gap ? "gap" : "none";
}

void active_request::undo_send()
{
    --sends_;
    // The retry budget was charged for a repeat.
    repeat_acquired_ = sends_ > 0;
}

bool active_request::begun_soundly() const
{
    return first_byte_at_ && context_.now() - *first_byte_at_ >= sound_after;
}

void active_request::record_sound()
{
    if (!std::exchange(sound_recorded_, true) && !shared_parts().empty())
    {
        context_.on_sound_response(shared_parts());
    }
}

void active_request::record_prompt(const server_exchange& exchange, attempt_result end)
{
    if (end == attempt_result::delivered)
    {
        record_sound();
    }
    else if (exchange.lost() && !begun_soundly())
    {
        auto parts = context_.quarantine.unproven(shared_parts());
        if (!parts.empty())
        {
            context_.on_connection_lost(exchange.server(), parts);
        }
    }
}

void active_request::log_attempt_end(const server_exchange& exchange, attempt_result end)
{
    instant now = context_.now();
    context_.log.write(
        "attempt_end",
        "request={} server={} outcome={} reason={} send={} held_ms={} longest_silence_ms={} "
        "connection={} unproven_parts={}",
        fields_.id.str(), exchange.server().str(), static_cast<int>(end), last_reason_, sends_,
        std::chrono::floor<milliseconds>(now - arrived_).count(),
        std::chrono::floor<milliseconds>(exchange.longest_silence()).count(),
        exchange.lost() ? "lost" : "kept", context_.quarantine.unproven(shared_parts()).size());
}

task<active_request::attempt_result> active_request::attempt(server_id server)
{
    const auto unit = target();
    server_exchange exchange(context_, server);
    last_server_ = server;
    if (const auto* known = context_.servers.find(server))
    {
        last_load_ = backend_table::load(*known);
    }
    ++sends_;
    context_.servers.record_sent(server, unit);
    exchange_ = &exchange;
    instant sent_at = context_.now();
    bool resumed = head_sent_;
    progressed_at_ = sent_at;
    first_byte_at_.reset();
    event_count_ = 0;
    sound_recorded_ = false;
    schedule_inactivity_check();
    const auto* chosen = context_.servers.find(server);
    std::int64_t start_time_ms = chosen ? chosen->entry.start_time_ms : 0;
    auto state = co_await exchange.send(
        [&]
        {
            return may_still_send(server, start_time_ms) ? std::optional(server_request(server))
                                                         : std::nullopt;
        },
        fields_.id);
    permit_.reset();
    record_write(exchange);
    auto end = attempt_result::not_run;
    auto outcome = backend_outcome::failed;
    if (state == exchange_state::no_response)
    {
        ++runs_;
        may_have_run_ = true;
        end = attempt_result::may_have_run;
        last_reason_ = "bad_answer";
    }
    else if (state == exchange_state::withheld)
    {
        outcome = backend_outcome::abandoned;
        undo_send();
    }
    else if (state == exchange_state::not_sent)
    {
        last_reason_ = "unreachable";
        tried_.insert(server);
        undo_send();
        ++failed_connects_;
    }
    else if (platform::was_not_executed(exchange.status(), exchange.fields()))
    {
        bool not_held = exchange.status() == platform::misdirected_status;
        outcome = not_held ? backend_outcome::not_held : backend_outcome::full;
        last_reason_ = not_held ? "not_held" : "server_full";
        // A server that is loading the target can soon serve it, so it stays a candidate; others
        // are tried first.
        co_await exchange.discard_rest();
        if (unit.model.empty())
        {
            tried_.insert(server);
        }
        else
        {
            outcome = backend_outcome::not_held;
        }
    }
    else if (platform::promises_not_executed(exchange.status()) && !head_sent_)
    {
        // Passed on, the status would promise the caller what the server did not.
        ++runs_;
        may_have_run_ = true;
        end = attempt_result::may_have_run;
        last_reason_ = "bad_answer";
        co_await exchange.discard_rest();
    }
    else
    {
        ++runs_;
        may_have_run_ = true;
        end = co_await relay(exchange);
        outcome =
            end == attempt_result::delivered ? backend_outcome::responded : backend_outcome::failed;
    }
    inactivity_timer_.cancel();
    exchange_ = nullptr;
    if (caller_->closed || ended())
    {
        outcome = backend_outcome::abandoned;
        if (caller_->closed)
        {
            end = attempt_result::caller_left;
        }
    }
    record_prompt(exchange, end);
    exchange.finish();
    if (end == attempt_result::delivered && !resumed)
    {
        record_duration(unit.model, sent_at);
    }
    if (end == attempt_result::delivered && !unit.model.empty())
    {
        record_pace(server);
    }
    context_.servers.record_ended(server, unit, outcome, context_.now());
    context_.waiting.wake(wait_key());
    if (end != attempt_result::delivered)
    {
        log_attempt_end(exchange, end);
    }
    co_return end;
}

task<active_request::attempt_result> active_request::relay(server_exchange& exchange)
{
    int status = exchange.status();
    bool success = status >= 200 && status < 300;
    if (success && (!exchange.fields().stamped || exchange.fields().id.empty()))
    {
        // A success without the stamp or the request id is not a valid response; it may belong to
        // another request.
        last_reason_ = "bad_answer";
        co_return attempt_result::may_have_run;
    }
    if (head_sent_ && !success)
    {
        last_reason_ = "resume_refused";
        exchange.close();
        co_return attempt_result::stream_broken;
    }
    // A later configuration may have changed the route's kind; what the caller has is a stream
    // still.
    if (success && (head_sent_ || route_->kind == request_kind::stream))
    {
        const auto type = exchange.head()[http::field::content_type];
        auto fault = events_.begin(exchange.status(), {type.data(), type.size()});
        if (fault == stream_fault::none)
        {
            co_return co_await relay_stream(exchange);
        }
        if (head_sent_)
        {
            co_return refuse_rest(exchange, fault);
        }
    }
    co_return co_await relay_buffered(exchange);
}

task<active_request::attempt_result> active_request::relay_buffered(server_exchange& exchange)
{
    first_byte_at_ = context_.now();
    std::string body;
    while (body.size() < max_buffered_response_bytes)
    {
        auto data = co_await exchange.read_some();
        if (!data)
        {
            break;
        }
        body += *data;
    }
    if (exchange.complete())
    {
        std::string response = response_head(exchange, body.size()) + body;
        if (exchange.status() >= first_server_error)
        {
            last_reason_ = "server_error";
            kept_response_ = std::move(response);
            kept_status_ = exchange.status();
            co_return attempt_result::server_failure;
        }
        kept_response_.clear();
        co_return co_await caller_->write(response) ? attempt_result::delivered
                                                    : attempt_result::caller_left;
    }
    last_reason_ = "bad_answer";
    if (body.size() < max_buffered_response_bytes)
    {
        co_return attempt_result::may_have_run;
    }
    kept_response_.clear();
    head_sent_ = true;
    std::string text = response_head(exchange, exchange.content_length());
    bool framed = !exchange.content_length();
    text += framed ? chunk(body) : body;
    if (!co_await caller_->write(text))
    {
        co_return attempt_result::caller_left;
    }
    while (auto data = co_await exchange.read_some())
    {
        text = framed ? chunk(*data) : std::string(*data);
        if (!co_await caller_->write(text))
        {
            co_return attempt_result::caller_left;
        }
    }
    if (!exchange.complete())
    {
        co_return attempt_result::stream_broken;
    }
    if (framed && !co_await caller_->write("0\r\n\r\n"))
    {
        co_return attempt_result::caller_left;
    }
    co_return attempt_result::delivered;
}

active_request::attempt_result active_request::refuse_rest(server_exchange& exchange,
                                                           stream_fault fault)
{
    bool broken = fault == stream_fault::broken;
    last_reason_ = broken ? "stream_broken" : "not_the_stream";
    context_.stats.increment("banyanshunt_stream_faults_total", {{"fault", to_text(fault)}});
    if (!broken)
    {
        // Part of the log's volume per send, like `attempt_end`.
        context_.log.write("stream_refused", "request={} server={} fault={} last_id={}",
                           fields_.id.str(), exchange.server().str(), to_text(fault),
                           events_.last_id().empty() ? "-" : events_.last_id());
        // The server may still run it.
        exchange.close();
    }
    return head_sent_ ? attempt_result::stream_broken : attempt_result::may_have_run;
}

task<active_request::attempt_result> active_request::relay_stream(server_exchange& exchange)
{
    kept_response_.clear();
    std::string text;
    if (!head_sent_)
    {
        text = response_head(exchange, std::nullopt);
    }
    else
    {
        ++context_.counters.resumed;
    }
    auto fault = stream_fault::none;
    while (fault == stream_fault::none)
    {
        auto data = co_await exchange.read_some();
        if (!data)
        {
            break;
        }
        auto part = events_.feed(*data);
        fault = part.fault;
        if (part.events.empty())
        {
            continue;
        }
        record_events(part.events);
        first_byte_at_ = first_byte_at_.value_or(progressed_at_);
        if (begun_soundly())
        {
            record_sound();
        }
        if (time_to_first_byte_.count() == 0)
        {
            time_to_first_byte_ = context_.now() - arrived_;
        }
        text += chunk(part.events);
        head_sent_ = true;
        if (!co_await caller_->write(text))
        {
            co_return attempt_result::caller_left;
        }
        text.clear();
    }
    fault = fault == stream_fault::none ? events_.end(exchange.complete()) : fault;
    if (fault != stream_fault::none)
    {
        co_return refuse_rest(exchange, fault);
    }
    head_sent_ = true;
    text += "0\r\n\r\n";
    co_return co_await caller_->write(text) ? attempt_result::delivered
                                            : attempt_result::caller_left;
}

} // namespace banyanshunt
