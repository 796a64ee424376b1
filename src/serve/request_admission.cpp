// Whether a request may run: its route, its key, the age of the configuration, and its workspace's
// rate.

#include <algorithm>
#include <random>

#include "serve/active_request.hpp"

namespace banyanshunt
{

namespace
{

/// How long a request waits until a configuration which may have to be superseded is confirmed: an
/// overdue call to the log and one on a new connection. The log responds within milliseconds.
constexpr milliseconds config_confirm_timeout{500};

} // namespace

std::int64_t active_request::token_cost() const
{
    if (!workspace_->counts_tokens)
    {
        return 1;
    }
    return fields_.prompt_tokens ? *fields_.prompt_tokens + fields_.output_tokens
                                 : workspace_->default_tokens;
}

active_request::admission active_request::judge_admission() const
{
    if (!context_.config)
    {
        return {.refused = unavailable};
    }
    bool fresh = context_.config_is_fresh(context_.now());
    const auto* route = context_.config->find_route(fields_.host, std::string(request_.target()));
    if (!route)
    {
        return {.refused = fresh ? refusal{.status = 404, .reason = "not_found", .retry_after = {}}
                                 : unavailable};
    }
    if (route->open_to_all || context_.config->workspaces.empty())
    {
        return {.route = route};
    }
    if (!fresh && context_.settings.bounds.refuse_when_stale)
    {
        return {.refused = unavailable, .route = route};
    }
    const auto* workspace = context_.config->find_workspace(fields_.api_key);
    if (!workspace)
    {
        return {.refused =
                    refusal{.status = 401,
                            .reason = fields_.api_key.empty() ? "key_missing" : "key_refused",
                            .retry_after = {}},
                .route = route};
    }
    return {.route = route, .workspace = workspace};
}

std::optional<active_request::refusal> active_request::check_allowed()
{
    auto it = judge_admission();
    if (context_.config)
    {
        config_ = context_.config;
        config_age_ = context_.config_age(context_.now());
        config_end_ = context_.config_end;
        route_ = it.route;
        workspace_ = it.workspace;
    }
    return it.refused;
}

bool active_request::routed_to_service(const serving_route& route) const
{
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](const auto& it) { return it.service == service_; });
}

task<std::optional<active_request::refusal>> active_request::confirm_allowed()
{
    auto cause = check_allowed();
    instant now = context_.now();
    if (cause && cause->status == unavailable.status)
    {
        co_return cause;
    }
    auto verdict = context_.judge_config(now);
    if (verdict == ground_verdict::decide && context_.ground.needs_refresh(now))
    {
        context_.refresh_config();
    }
    // A refusal that cannot be confirmed is not given, so it is worth asking a store that did not
    // answer before.
    auto decision = cause ? config_decision::refuse : config_decision::run;
    if (verdict == ground_verdict::confirm_first ||
        (verdict == ground_verdict::unconfirmed && cause))
    {
        verdict = co_await confirm_config(decision);
        cause = check_allowed();
    }
    if (verdict != ground_verdict::decide && cause && cause->status != unavailable.status)
    {
        co_return unavailable;
    }
    co_return cause;
}

task<ground_verdict> active_request::confirm_config(config_decision decision)
{
    instant asked_at = context_.now();
    instant give_up_at = std::min<instant>(asked_at + config_confirm_timeout, deadline_);
    auto verdict = ground_verdict::confirm_first;
    auto is_open = [&]
    {
        return verdict == ground_verdict::confirm_first ||
               (verdict == ground_verdict::unconfirmed && decision == config_decision::refuse);
    };
    context_.ground.is_behind(context_.version_in_force(), asked_at) ? context_.reread_config()
                                                                     : context_.refresh_config();
    while (is_open() && context_.now() < give_up_at && !caller_->closed && !ended())
    {
        co_await context_.waiting.wait(host_context::config_wait_key, 0, arrived_,
                                       give_up_at - context_.now());
        verdict = context_.judge_config(context_.now());
    }
    const char* result = verdict == ground_verdict::decide ? "confirmed" : "unconfirmed";
    context_.stats.increment("banyanshunt_config_confirmations_total",
                             {{"result", result}, {"decision", to_text(decision)}});
    context_.log.write("config_old", "request={} result={} decision={} waited_ms={}",
                       fields_.id.str(), result, to_text(decision),
                       std::chrono::floor<milliseconds>(context_.now() - asked_at).count());
    co_return verdict;
}

task<std::optional<active_request::refusal>> active_request::admit()
{
    if (auto cause = co_await confirm_allowed())
    {
        co_return cause;
    }
    deadline_ = std::min(deadline_, arrived_ + route_->timeout);
    priority_ = workspace_ && workspace_->priority ? *workspace_->priority : route_->priority;
    int sum = 0;
    for (const auto& it : route_->services)
    {
        sum += std::max(it.weight, 0);
    }
    int draw = std::uniform_int_distribution<int>(0, std::max(sum - 1, 0))(context_.random);
    service_ = route_->services.front().service;
    for (const auto& it : route_->services)
    {
        draw -= std::max(it.weight, 0);
        if (draw < 0)
        {
            service_ = it.service;
            break;
        }
    }
    co_return std::nullopt;
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
    if (co_await context_.resources->acquire_tokens(workspace, tokens(cost)))
    {
        charged_ = cost;
        co_return std::nullopt;
    }
    auto retry_after = milliseconds(static_cast<std::int64_t>(
        1000.0 * static_cast<double>(cost) / rate * static_cast<double>(context_.host_count)));
    co_return refusal{.status = 429,
                      .reason = "over_rate",
                      .retry_after = std::max(retry_after, milliseconds(300))};
}

} // namespace banyanshunt
