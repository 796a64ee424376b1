// Which server a request is sent to, and how long it waits for one.

#include <algorithm>
#include <random>

#include "serve/active_request.hpp"

namespace banyanshunt
{

namespace
{

/// Fraction of its time that a request may wait for a server; one sent later than that seldom
/// completes before its deadline.
constexpr double max_wait_fraction = 0.45;
/// Callers abandon a stream whose next event has not arrived after the longest of these: a fixed
/// time, and multiples of the route's objective and of the longest pause between events.
constexpr milliseconds min_event_timeout{2000};
constexpr int objectives_per_timeout = 4;
constexpr int gaps_per_timeout = 8;
/// Fraction of that timeout that a request may wait for a server, or for one that is silent.
constexpr double max_timeout_fraction = 0.85;
/// How often a waiting request checks again for a server if no wake-up came before.
constexpr milliseconds recheck_interval{100};
/// Minimum time that must remain for a send to be worthwhile.
constexpr milliseconds min_remaining{40};
/// The furthest ahead that a request is scheduled at a server that states a limit.
constexpr milliseconds max_permit_wait{2000};
/// How often a waiting request requests a permit for one server.
constexpr milliseconds permit_request_period{250};
/// How long a waiting request waits for the server list to be confirmed: an overdue call to the log
/// and one on a new connection. The log responds within milliseconds.
constexpr milliseconds list_confirm_timeout{500};

} // namespace

task<void> active_request::confirm_server_list()
{
    instant asked_at = context_.now();
    instant give_up_at = asked_at + list_confirm_timeout;
    context_.refresh_server_list();
    while (context_.judge_server_list() == list_verdict::confirm_first &&
           context_.now() < give_up_at && !caller_->closed && !ended())
    {
        co_await context_.waiting.wait(host_context::server_list_wait_key, priority_, arrived_,
                                       give_up_at - context_.now());
    }
    auto verdict = context_.judge_server_list();
    context_.stats.increment("banyanshunt_server_list_confirmations_total",
                             {{"result", to_text(verdict)}});
    context_.log.write("server_list_old", "request={} result={} waited_ms={}", fields_.id.str(),
                       to_text(verdict),
                       std::chrono::floor<milliseconds>(context_.now() - asked_at).count());
}

task<void> active_request::confirm_evacuations()
{
    instant give_up_at = context_.now() + list_confirm_timeout;
    context_.refresh_config();
    while (context_.evacuation_may_be_unknown(context_.now()) && context_.now() < give_up_at &&
           !caller_->closed && !ended())
    {
        co_await context_.waiting.wait(host_context::config_wait_key, priority_, arrived_,
                                       give_up_at - context_.now());
    }
}

task<void> active_request::await_end_check()
{
    while (context_.end_checks.contains(last_server_) && !caller_->closed && !ended())
    {
        co_await context_.waiting.wait(host_context::quarantine_wait_key, priority_, arrived_,
                                       recheck_interval);
    }
}

milliseconds active_request::caller_patience() const
{
    return std::max({min_event_timeout, objectives_per_timeout * route_->objective,
                     gaps_per_timeout * route_->event_gap});
}

milliseconds active_request::max_event_wait() const
{
    return std::chrono::duration_cast<milliseconds>(caller_patience() * max_timeout_fraction);
}

instant active_request::latest_start() const
{
    auto total = std::chrono::duration<double, std::milli>(deadline_ - arrived_);
    auto latest = arrived_ + std::chrono::duration_cast<nanoseconds>(total * max_wait_fraction);
    if (route_->kind == request_kind::stream && !head_sent_)
    {
        latest = std::min(latest, arrived_ + max_event_wait());
    }
    if (sends_ > 0)
    {
        latest = deadline_ - min_remaining;
    }
    if (auto before_stop = latest_start_before_stop())
    {
        latest = std::min(latest, *before_stop);
    }
    return latest;
}

std::optional<instant> active_request::latest_start_before_stop() const
{
    if (!context_.stop)
    {
        return std::nullopt;
    }
    if (head_sent_ || may_have_run_)
    {
        // What remains of a stream is unknown, and a refusal would not be true any more: the caller
        // is no worse off if the response ends later.
        return context_.stop->deadline();
    }
    return context_.stop->latest_start(run_estimate(), deadline_);
}

std::optional<nanoseconds> active_request::run_estimate() const
{
    instant now = context_.now();
    return context_.durations.estimate(service_, target().model, tokens(fields_.output_tokens),
                                       context_.stop->coverage(), now);
}

bool active_request::ends_before_stop(milliseconds expected_wait) const
{
    auto latest = latest_start_before_stop();
    return !latest || context_.now() + expected_wait <= *latest;
}

bool active_request::permitted(const server_id& server) const
{
    instant now = context_.now();
    return !context_.servers.limits().in_force(server) ||
           (permit_ && permit_->server == server && now >= permit_->valid_from &&
            now < permit_->valid_until);
}

void active_request::request_extra_replica(const server_criteria& need)
{
    const auto* its_engine = engine();
    auto more = its_engine
                    ? context_.servers.choose_extra_replica(need, *its_engine, context_.now())
                    : std::nullopt;
    if (more && context_.may_request_replica(need.target.model))
    {
        context_.resources->request_load(more->server, {.model = need.target.model, .adapter = {}},
                                         waited_);
    }
}

task<bool> active_request::request_permit(const server_choice& choice)
{
    instant now = context_.now();
    auto [last, is_first] = permits_requested_.try_emplace(choice.server, now);
    bool asked_recently = !is_first && now - last->second < permit_request_period;
    auto max_wait =
        choice.has_alternative
            ? milliseconds(0)
            : std::min(max_permit_wait, std::chrono::floor<milliseconds>(latest_start() - now));
    if (permit_ || asked_recently || choice.expected_wait > max_wait)
    {
        co_return false;
    }
    last->second = now;
    auto response = co_await context_.resources->acquire_permit(choice.server, max_wait);
    if (response.granted)
    {
        permit_ = {.server = choice.server,
                   .valid_from = response.valid_from,
                   .valid_until = response.valid_until};
    }
    else
    {
        context_.servers.limits().record_next_permit(choice.server, context_.now() + response.wait);
    }
    co_return true;
}

task<std::optional<server_id>> active_request::find_server()
{
    instant wait_start = context_.now();
    server_id requested_server;
    instant requested_at;
    while (!caller_->closed && !ended())
    {
        if (has_banned_part())
        {
            last_reason_ = banned.reason;
            co_return std::nullopt;
        }
        if (permit_ && context_.now() >= permit_->valid_until)
        {
            permit_.reset();
        }
        server_criteria need{.service = service_,
                             .target = target(),
                             .tried = tried_,
                             .unseen = context_.unseen_requests(wait_key()),
                             .draw = std::uniform_real_distribution<double>(0, 1)(context_.random)};
        if (permit_ && permitted(permit_->server))
        {
            need.permitted = permit_->server;
        }
        auto choice = context_.servers.choose(need, engine(), context_.now());
        waited_ = std::chrono::floor<milliseconds>(context_.now() - wait_start);
        if (choice.action == server_choice::action_kind::send)
        {
            if (!context_.servers.limits().in_force(choice.server))
            {
                request_extra_replica(need);
            }
            co_return choice.server;
        }
        bool none_now = choice.action == server_choice::action_kind::none ||
                        choice.action == server_choice::action_kind::pause;
        if (none_now && !tried_.empty())
        {
            tried_.clear();
            continue;
        }
        last_reason_ =
            choice.action == server_choice::action_kind::full ? "queue_full" : "no_replica";
        nanoseconds wait = recheck_interval;
        if (choice.action == server_choice::action_kind::permit)
        {
            if (co_await request_permit(choice))
            {
                continue;
            }
            // The limit binds: another replica would help.
            request_extra_replica(need);
            last_reason_ = "server_limited";
            limit_wait_ = choice.expected_wait;
        }
        else if (choice.action == server_choice::action_kind::pause)
        {
            request_extra_replica(need);
            last_reason_ = "server_paused";
            limit_wait_ = choice.expected_wait;
            wait = std::clamp(choice.expected_wait, milliseconds(1), recheck_interval);
        }
        else if (choice.action == server_choice::action_kind::load && choice.loading)
        {
            wait = std::clamp(choice.expected_wait, milliseconds(1), recheck_interval);
        }
        else if (choice.action == server_choice::action_kind::load &&
                 (choice.server != requested_server ||
                  context_.now() - requested_at >= recheck_interval))
        {
            requested_server = choice.server;
            requested_at = context_.now();
            load_route_ = context_.resources->request_load(choice.server, need.target, waited_);
            load_server_ = choice.server;
        }
        if (permit_)
        {
            auto permit_wait =
                std::max<nanoseconds>(permit_->valid_from - context_.now(), milliseconds(1));
            choice.expected_wait =
                std::min(choice.expected_wait, std::chrono::ceil<milliseconds>(permit_wait));
            wait = std::min(wait, permit_wait);
        }
        // A load is requested even if this request cannot wait for it, as its caller will retry.
        if (out_of_time(choice.expected_wait))
        {
            if (!ends_before_stop(choice.expected_wait))
            {
                last_reason_ = "draining";
            }
            co_return std::nullopt;
        }
        co_await context_.waiting.wait(wait_key(), priority_, arrived_, wait);
    }
    co_return std::nullopt;
}

} // namespace banyanshunt
