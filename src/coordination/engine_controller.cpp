#include "coordination/engine_controller.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace banyanshunt
{

namespace
{

/// Factor on the worth of a model that other servers hold too.
constexpr double redundant_factor = 0.15;
/// What a running request adds to a model's worth, in requests a second.
constexpr double running_request_worth = 1.0;
/// A request repeats its load request every 100 ms; one that has waited for less is new.
constexpr milliseconds load_request_period{100};
/// Estimate of how long a server whose models are all in use has no room.
constexpr milliseconds busy_room{1200};
/// How long the unload of an idle model takes.
constexpr milliseconds typical_unload{150};
/// What is added to the stated load times before requests are sent.
constexpr milliseconds load_slack{10};
/// How often a controller with nothing to do decides again.
constexpr milliseconds idle_period{500};

} // namespace

const char* to_text(load_block it)
{
    switch (it)
    {
    case load_block::none:
        return "none";
    case load_block::draining:
        return "draining";
    case load_block::state_unknown:
        return "state_unknown";
    case load_block::conflict:
        return "conflict";
    case load_block::loading:
        return "loading";
    case load_block::unloading:
        return "unloading";
    case load_block::no_victim:
        return "no_victim";
    case load_block::adapter_slots:
        return "adapter_slots";
    case load_block::store_limit:
        return "store_limit";
    case load_block::held_elsewhere:
        return "held_elsewhere";
    }
    return "unknown";
}

engine_controller::engine_controller(const backend_entry& entry, engine_controller_options options,
                                     instant now)
    : options_(options), entry_(entry), report_at_(now + options.report_lag), retry_at_(now),
      owner_since_(now)
{
    apply_models(entry.models, now);
}

void engine_controller::apply_models(const loaded_models& models, instant now)
{
    std::erase_if(models_, [&](const auto& it) { return !models.contains(it.first); });
    for (const auto& [id, adapters] : models)
    {
        auto [it, is_new] = models_.try_emplace(id);
        auto& model = it->second;
        if (is_new)
        {
            model.ready_at = now;
        }
        std::erase_if(model.adapters, [&, &held = adapters](const auto& a)
                      { return a.second.ready_at <= now && !held.contains(a.first); });
        for (const auto& adapter : adapters)
        {
            model.adapters.try_emplace(adapter, adapter_state{.ready_at = now, .used_at = now});
        }
    }
}

void engine_controller::update(const backend_entry& entry, instant now)
{
    if (entry == entry_)
    {
        return;
    }
    // The table of servers holds the newest incarnation, whose clock may be behind that of an
    // earlier one.
    bool restarted = entry.start_time_ms != entry_.start_time_ms;
    entry_ = entry;
    if (restarted)
    {
        models_.clear();
        unloading_.reset();
        apply_models(entry.models, now);
        orders_accepted_.reset();
        report_at_ = now;
        return;
    }
    if (unloading_ && !entry.models.contains(*unloading_))
    {
        // The engine can accept the following load now; until it does, the memory counts as used.
        retry_at_ = now;
    }
    bool same = models_.size() == entry.models.size() &&
                std::all_of(models_.begin(), models_.end(),
                            [&](const auto& it) { return entry.models.contains(it.first); });
    if (orders_accepted_ && !same && now - ordered_at_ > options_.entry_lag)
    {
        // A delayed order of an earlier owner was carried out.
        orders_accepted_.reset();
        report_at_ = now;
    }
}

void engine_controller::adopt(const residency_report& report, instant now)
{
    if (report.start_time_ms < entry_.start_time_ms)
    {
        return;
    }
    if (report.busy)
    {
        report_at_ = now + options_.report_lag;
        retry_at_ = now + options_.max_conflict_backoff;
        for (auto& [id, model] : models_)
        {
            if (model.from_store && !report.models.contains(id))
            {
                model.ready_at = std::max(model.ready_at, now + options_.overdue_recheck);
                report_at_ = model.ready_at;
            }
        }
        if (unloading_ && report.orders_accepted == orders_with_unload_)
        {
            orders_accepted_ = report.orders_accepted;
        }
        // With any other count an order without a response was carried out late, perhaps a load
        // that takes the room: only a report of the idle engine shows what it holds.
        return;
    }
    unloading_.reset();
    for (auto& [id, model] : models_)
    {
        model.unloading = false;
        model.from_store = false;
        model.ready_at = std::min(model.ready_at, now);
    }
    apply_models(report.models, now);
    orders_accepted_ = report.orders_accepted;
    retry_at_ = now;
}

void engine_controller::request_load(const model_target& target, milliseconds waited, instant now)
{
    auto [it, is_new] =
        load_requests_.try_emplace(target, load_request{.first = now - waited, .last = now});
    it->second.last = now;
    it->second.first = std::min(it->second.first, now - waited);
    if (waited < load_request_period)
    {
        rates_.record(target.model, 1, now);
    }
}

void engine_controller::record_use(const host_id& host, const model_target& target, int running,
                                   int requests, instant now)
{
    uses_[target][host] = {.running = running, .at = now};
    rates_.record(target.model, requests, now);
    auto model = models_.find(target.model);
    if (model == models_.end())
    {
        return;
    }
    model->second.requests_since_load += requests;
    auto adapter = model->second.adapters.find(target.adapter);
    if (adapter != model->second.adapters.end() && (running > 0 || requests > 0))
    {
        adapter->second.used_at = now;
    }
}

int engine_controller::running(const model_target& target, instant now) const
{
    auto it = uses_.find(target);
    if (it == uses_.end())
    {
        return 0;
    }
    int sum = 0;
    for (const auto& [host, use] : it->second)
    {
        sum += now - use.at < options_.usage_ttl ? use.running : 0;
    }
    return sum;
}

int engine_controller::running_model(const model_id& model, instant now) const
{
    int sum = 0;
    for (const auto& [target, hosts] : uses_)
    {
        sum += target.model == model ? running(target, now) : 0;
    }
    return sum;
}

engine_room engine_controller::room(const engine_spec& engine) const
{
    engine_room result(engine);
    for (const auto& [id, model] : models_)
    {
        result.add(id, model.adapters.size());
    }
    return result;
}

bool engine_controller::loading(instant now) const
{
    return std::any_of(models_.begin(), models_.end(),
                       [&](const auto& it) { return it.second.ready_at > now; });
}

milliseconds engine_controller::load_time(const model_spec& model) const
{
    if (entry_.in_memory.contains(model.id))
    {
        return model.load_from_memory + load_slack;
    }
    return (entry_.on_disk.contains(model.id) ? model.load_from_disk : model.load_from_store) +
           load_slack;
}

bool engine_controller::holds(const model_target& target) const
{
    auto model = models_.find(target.model);
    return model != models_.end() && !model->second.unloading &&
           (target.adapter.empty() || model->second.adapters.contains(target.adapter));
}

void engine_controller::expire_load_requests(instant now)
{
    for (auto it = load_requests_.begin(); it != load_requests_.end();)
    {
        if (now - it->second.last <= options_.request_ttl)
        {
            ++it;
            continue;
        }
        if (!holds(it->first))
        {
            expired_requests_.push_back(
                {.target = it->first,
                 .waited = std::chrono::floor<milliseconds>(it->second.last - it->second.first),
                 .block = it->second.block});
        }
        it = load_requests_.erase(it);
    }
}

std::vector<expired_load_request> engine_controller::take_expired_requests()
{
    return std::exchange(expired_requests_, {});
}

int engine_controller::requests_since_load(const model_id& model) const
{
    auto it = models_.find(model);
    return it == models_.end() ? 0 : it->second.requests_since_load;
}

int engine_controller::pending_load_requests(const model_id& model) const
{
    return static_cast<int>(std::count_if(load_requests_.begin(), load_requests_.end(),
                                          [&](const auto& it) { return it.first.model == model; }));
}

engine_controller::step engine_controller::decide(const engine_spec& engine, const context& env,
                                                  instant now)
{
    expire_load_requests(now);
    model_block_ = load_block::none;
    adapter_block_ = load_block::none;
    step next = decide_step(engine, env, now);
    for (auto& [target, request] : load_requests_)
    {
        if (models_.contains(target.model) && target.adapter.empty())
        {
            continue;
        }
        request.block = models_.contains(target.model) ? adapter_block_ : model_block_;
        if (!models_.contains(target.model) && model_block_ == load_block::none &&
            env.available_elsewhere(target))
        {
            request.block = load_block::held_elsewhere;
        }
    }
    return next;
}

engine_controller::step engine_controller::decide_step(const engine_spec& engine,
                                                       const context& env, instant now)
{
    step nothing{.action = step::action_kind::none, .order = {}, .recheck_at = now + idle_period};
    auto block = [this](load_block cause)
    {
        model_block_ = cause;
        adapter_block_ = cause;
    };
    if (entry_.draining)
    {
        block(load_block::draining);
        return nothing;
    }
    if (!orders_accepted_)
    {
        block(unloading_ ? load_block::unloading : load_block::state_unknown);
        if (now < report_at_)
        {
            nothing.recheck_at = report_at_;
            return nothing;
        }
        report_at_ = now + options_.report_lag;
        return {.action = step::action_kind::query_report, .order = {}, .recheck_at = {}};
    }
    if (now < retry_at_)
    {
        block(unloading_ ? load_block::unloading : load_block::conflict);
        nothing.recheck_at = retry_at_;
        return nothing;
    }
    bool overdue = std::any_of(models_.begin(), models_.end(),
                               [&](const auto& it)
                               { return it.second.from_store && it.second.ready_at <= now; });
    if (overdue)
    {
        block(load_block::loading);
        orders_accepted_.reset();
        report_at_ = now + options_.overdue_recheck;
        return {.action = step::action_kind::query_report, .order = {}, .recheck_at = {}};
    }
    if (loading(now))
    {
        block(load_block::loading);
        for (const auto& [id, model] : models_)
        {
            nothing.recheck_at = model.ready_at > now ? std::min(nothing.recheck_at, model.ready_at)
                                                      : nothing.recheck_at;
        }
        return nothing;
    }
    if (unloading_)
    {
        block(load_block::unloading);
        auto next = step_after_unload(engine, env, now);
        if (next.action != step::action_kind::none)
        {
            return next;
        }
        // What waits for the weight store or for more room does not hold up adapters.
        adapter_block_ = load_block::none;
        return orders_accepted_ ? adapter_step(engine, now).value_or(next) : next;
    }
    if (auto next = adapter_step(engine, now))
    {
        return *next;
    }
    if (auto next = model_step(engine, env, now))
    {
        return *next;
    }
    return nothing;
}

std::optional<engine_controller::step> engine_controller::adapter_step(const engine_spec& engine,
                                                                       instant now)
{
    int adapters_loading = 0;
    for (const auto& [id, model] : models_)
    {
        adapters_loading +=
            static_cast<int>(std::count_if(model.adapters.begin(), model.adapters.end(),
                                           [&](const auto& a) { return a.second.ready_at > now; }));
    }
    const model_target* oldest = nullptr;
    instant oldest_at = instant::max();
    for (const auto& [target, request] : load_requests_)
    {
        auto model = models_.find(target.model);
        bool loadable = !target.adapter.empty() && model != models_.end() &&
                        !model->second.unloading &&
                        !model->second.adapters.contains(target.adapter);
        if (loadable && request.first < oldest_at)
        {
            oldest = &target;
            oldest_at = request.first;
        }
    }
    if (!oldest || adapters_loading >= options_.max_adapters_loading)
    {
        return std::nullopt;
    }
    auto spec = engine.models.find(oldest->model);
    if (spec != engine.models.end() && room(engine).fits_adapter(spec->second))
    {
        return step{.action = step::action_kind::order,
                    .order = {.action = load_order::action_kind::load,
                              .model = oldest->model,
                              .adapter = oldest->adapter,
                              .expected_orders = *orders_accepted_},
                    .recheck_at = {}};
    }
    std::optional<model_target> idle;
    instant idle_since = now;
    for (const auto& [id, model] : models_)
    {
        for (const auto& [adapter, state] : model.adapters)
        {
            model_target target{.model = id, .adapter = adapter};
            bool requested = load_requests_.contains(target);
            if (state.ready_at <= now && !requested && running(target, now) == 0 &&
                state.used_at < idle_since)
            {
                idle = target;
                idle_since = state.used_at;
            }
        }
    }
    if (!idle)
    {
        adapter_block_ = load_block::adapter_slots;
        return std::nullopt;
    }
    return step{.action = step::action_kind::order,
                .order = {.action = load_order::action_kind::unload,
                          .model = idle->model,
                          .adapter = idle->adapter,
                          .expected_orders = *orders_accepted_},
                .recheck_at = {}};
}

std::optional<model_id> engine_controller::next_model(const engine_spec& engine, instant now) const
{
    const auto available = room(engine);
    auto fits = [&](const model_id& model)
    {
        auto spec = engine.models.find(model);
        return spec != engine.models.end() && !models_.contains(model) &&
               available.fits_after(*unloading_, spec->second);
    };
    bool planned_fits = fits(after_unload_);
    const model_target* oldest = nullptr;
    instant oldest_at = now;
    bool oldest_is_local = false;
    for (const auto& [target, request] : load_requests_)
    {
        if (target.model == after_unload_ && planned_fits)
        {
            return after_unload_;
        }
        bool local = is_local(target.model);
        bool better = local != oldest_is_local ? local : request.first <= oldest_at;
        if (better && fits(target.model))
        {
            oldest = &target;
            oldest_at = request.first;
            oldest_is_local = local;
        }
    }
    return oldest         ? std::optional(oldest->model)
           : planned_fits ? std::optional(after_unload_)
                          : std::nullopt;
}

engine_controller::step engine_controller::step_after_unload(const engine_spec& engine,
                                                             const context& env, instant now)
{
    if (auto next = next_model(engine, now))
    {
        return load_model(*next, env, now);
    }
    step nothing{.action = step::action_kind::none,
                 .order = {},
                 .recheck_at = now + options_.conflict_backoff};
    const auto* oldest = oldest_request(engine, env, false);
    if (!oldest)
    {
        // Nothing is to follow, so only a report shows when the unload is complete.
        orders_accepted_.reset();
        report_at_ = now + options_.report_lag;
        return nothing;
    }
    // The room is still too small. The engine accepts the next unload once this one is complete.
    auto waited = std::chrono::floor<milliseconds>(now - oldest->second.first);
    auto evicted = choose_eviction(engine, oldest->first.model, env, waited, now);
    if (!evicted)
    {
        return nothing;
    }
    after_unload_ = oldest->first.model;
    return unload_model(*evicted);
}

engine_controller::step engine_controller::unload_model(const model_id& model) const
{
    return {.action = step::action_kind::order,
            .order = {.action = load_order::action_kind::unload,
                      .model = model,
                      .adapter = {},
                      .expected_orders = *orders_accepted_},
            .recheck_at = {}};
}

const std::pair<const model_target, engine_controller::load_request>*
engine_controller::oldest_request(const engine_spec& engine, const context& env,
                                  bool local_only) const
{
    const std::pair<const model_target, load_request>* oldest = nullptr;
    for (const auto& it : load_requests_)
    {
        const auto& [target, request] = it;
        if (!models_.contains(target.model) && engine.models.contains(target.model) &&
            (!local_only || is_local(target.model)) &&
            (!oldest || request.first < oldest->second.first) && !env.available_elsewhere(target))
        {
            oldest = &it;
        }
    }
    return oldest;
}

std::optional<engine_controller::step>
engine_controller::model_step(const engine_spec& engine, const context& env, instant now)
{
    const auto* oldest = oldest_request(engine, env, false);
    if (!oldest)
    {
        return std::nullopt;
    }
    auto next = place_model(oldest->first.model, oldest->second, engine, env, now);
    if (next)
    {
        return next;
    }
    model_block_ = load_block::store_limit;
    const auto* local = oldest_request(engine, env, true);
    if (local)
    {
        return place_model(local->first.model, local->second, engine, env, now);
    }
    step nothing{.action = step::action_kind::none,
                 .order = {},
                 .recheck_at = now + options_.max_conflict_backoff};
    return nothing;
}

std::optional<engine_controller::step>
engine_controller::place_model(const model_id& model, const load_request& request,
                               const engine_spec& engine, const context& env, instant now)
{
    if (room(engine).fits(engine.models.at(model)))
    {
        return acquire_load(model, env) ? std::optional(load_model(model, env, now)) : std::nullopt;
    }
    auto waited = std::chrono::floor<milliseconds>(now - request.first);
    auto evicted = choose_eviction(engine, model, env, waited, now);
    if (!evicted)
    {
        model_block_ = load_block::no_victim;
        return step{.action = step::action_kind::none,
                    .order = {},
                    .recheck_at = now + options_.conflict_backoff};
    }
    // Before the eviction: what is evicted may itself be loadable from the store alone.
    if (!acquire_load(model, env))
    {
        return std::nullopt;
    }
    // Other hosts must stop sending requests for this model before the order is sent.
    after_unload_ = model;
    return unload_model(*evicted);
}

std::optional<model_id> engine_controller::choose_eviction(const engine_spec& engine,
                                                           const model_id& wanted,
                                                           const context& env, milliseconds waited,
                                                           instant now) const
{
    if (now - owner_since_ < options_.usage_warmup)
    {
        return std::nullopt;
    }
    std::vector<eviction_candidate> candidates;
    for (const auto& [id, model] : models_)
    {
        if (model.unloading || model.ready_at + options_.min_residency > now)
        {
            continue;
        }
        int busy = running_model(id, now);
        bool redundant = env.count_other_replicas(id) > 0;
        double worth = rates_.rate(id, now) + running_request_worth * busy;
        worth *= redundant ? redundant_factor : 1;
        // A busy model with less worth than the others is waited for rather than passed over:
        // unloading one with more requests would block the engine for longer.
        auto wait = busy == 0   ? milliseconds(0)
                    : redundant ? options_.busy_eviction_delay
                                : 3 * options_.busy_eviction_delay;
        candidates.push_back({.model = id, .worth = worth, .wait = wait});
    }
    auto evicted = cheapest_eviction(room(engine), engine.models.at(wanted), unloading_,
                                     std::move(candidates));
    bool may_evict = !evicted.empty() &&
                     std::all_of(evicted.begin(), evicted.end(),
                                 [&](const eviction_candidate& it) { return waited >= it.wait; });
    return may_evict ? std::optional(evicted.front().model) : std::nullopt;
}

bool engine_controller::acquire_load(const model_id& model, const context& env)
{
    if (is_local(model) || store_load_for_ == model)
    {
        return true;
    }
    if (!env.acquire_store_load())
    {
        return false;
    }
    store_load_for_ = model;
    return true;
}

engine_controller::step engine_controller::load_model(const model_id& model, const context& env,
                                                      instant now)
{
    if (!acquire_load(model, env))
    {
        model_block_ = load_block::store_limit;
        return {.action = step::action_kind::none,
                .order = {},
                .recheck_at = now + options_.max_conflict_backoff};
    }
    return {.action = step::action_kind::order,
            .order = {.action = load_order::action_kind::load,
                      .model = model,
                      .adapter = {},
                      .expected_orders = *orders_accepted_},
            .recheck_at = {}};
}

void engine_controller::handle_response(const load_order& order, order_response response,
                                        const engine_spec& engine, instant now)
{
    ordered_at_ = now;
    if (response == order_response::unknown || response == order_response::refused)
    {
        orders_accepted_.reset();
        report_at_ = now + options_.report_lag;
        return;
    }
    if (response == order_response::conflict)
    {
        if (conflict_backoff_.count() == 0)
        {
            conflict_since_ = now;
        }
        if (unloading_ && now - conflict_since_ < options_.conflict_timeout)
        {
            // The engine waits for the running requests of the model that it unloads.
            conflict_backoff_ = std::clamp(conflict_backoff_ * 2, options_.conflict_backoff,
                                           options_.max_conflict_backoff);
            retry_at_ = now + conflict_backoff_;
            return;
        }
        conflict_backoff_ = milliseconds(0);
        orders_accepted_.reset();
        report_at_ = unloading_ ? now : now + options_.report_lag;
        return;
    }
    conflict_backoff_ = milliseconds(0);
    bool loads = order.action == load_order::action_kind::load;
    bool counted = response == order_response::accepted || (!loads && !order.adapter.empty());
    if (orders_accepted_ && counted)
    {
        ++*orders_accepted_;
    }
    if (!order.adapter.empty())
    {
        auto model = models_.find(order.model);
        if (model != models_.end() && loads)
        {
            model->second.adapters[order.adapter] = {.ready_at =
                                                         response == order_response::already_done
                                                             ? now
                                                             : now + options_.adapter_load_time,
                                                     .used_at = now};
        }
        else if (response == order_response::accepted)
        {
            // The adapter keeps its slot until its requests have ended; only a report shows when.
            orders_accepted_.reset();
            report_at_ = now + options_.report_lag;
        }
        else if (model != models_.end())
        {
            model->second.adapters.erase(order.adapter);
        }
        return;
    }
    if (!loads)
    {
        if (response == order_response::already_done)
        {
            models_.erase(order.model);
            return;
        }
        complete_unload();
        unloading_ = order.model;
        unload_began_at_ = now;
        orders_with_unload_ = orders_accepted_.value_or(0);
        models_[order.model].unloading = true;
        return;
    }
    if (response == order_response::accepted)
    {
        complete_unload();
    }
    store_load_for_.reset();
    auto& model = models_[order.model];
    auto spec = engine.models.find(order.model);
    model = {};
    model.from_store = response == order_response::accepted &&
                       !entry_.in_memory.contains(order.model) &&
                       !entry_.on_disk.contains(order.model);
    model.ready_at = response == order_response::already_done || spec == engine.models.end()
                         ? now
                         : now + load_time(spec->second);
}

void engine_controller::complete_unload()
{
    // The engine carries out one order at a time, so it accepts the next one only then.
    if (unloading_)
    {
        models_.erase(*unloading_);
        unloading_.reset();
    }
}

server_placement engine_controller::placement(const engine_spec& engine, instant now) const
{
    server_placement report;
    report.start_time_ms = entry_.start_time_ms;
    report.reported_at = now;
    report.next_load_at = now;
    bool any_idle = false;
    bool idle_adapter = false;
    for (const auto& [id, model] : models_)
    {
        held_model held{.ready_at = model.ready_at,
                        .adapters = {},
                        .unloading = model.unloading,
                        .from_store = model.from_store};
        if (model.from_store)
        {
            // Not ready before a report confirms it.
            held.ready_at = std::max(model.ready_at, now) + load_slack;
        }
        for (const auto& [adapter, state] : model.adapters)
        {
            held.adapters.emplace(adapter, state.ready_at);
            idle_adapter = idle_adapter || (state.ready_at <= now &&
                                            running({.model = id, .adapter = adapter}, now) == 0);
        }
        report.models.emplace(id, std::move(held));
        report.next_load_at = std::max(report.next_load_at, model.ready_at);
        any_idle = any_idle || running_model(id, now) == 0;
    }
    auto next = engine.models.find(after_unload_);
    if (unloading_ && next != engine.models.end())
    {
        // Reported at once, so that no other server loads it as well.
        report.models.emplace(
            after_unload_, held_model{.ready_at = now + typical_unload + load_time(next->second)});
    }
    const auto available = room(engine);
    report.adapter_room = idle_adapter || available.has_adapter_slot();
    bool has_room =
        any_idle || std::all_of(engine.models.begin(), engine.models.end(),
                                [&](const auto& it) { return available.fits(it.second); });
    if (unloading_)
    {
        // An unload lasts until the model's requests have ended: it is expected to take as long
        // again as it has taken, so that hosts prefer other engines if it is slow.
        auto unload_left = std::chrono::ceil<milliseconds>(now - unload_began_at_);
        report.next_load_at += std::max(busy_room, unload_left);
    }
    else if (!has_room || !orders_accepted_)
    {
        report.next_load_at += busy_room;
    }
    return report;
}

} // namespace banyanshunt
