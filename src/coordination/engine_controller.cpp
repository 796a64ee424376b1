#include "coordination/engine_controller.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyanshunt
{

namespace
{

/// Over how long the rate of requests for a model is averaged: a few of a rare model's requests.
constexpr double rate_seconds = 4.0;
/// What a model that other servers hold too counts against one that only this server holds.
constexpr double redundant_part = 0.15;
/// What a running request adds to a model's worth, in requests a second.
constexpr double running_worth = 1.0;
/// How long the room of a server whose models are all in use is away.
constexpr milliseconds busy_room{1200};
/// How long the unload of an idle model takes.
constexpr milliseconds usual_unload{150};
/// What is added to the stated load times before requests are sent.
constexpr milliseconds load_slack{10};
/// How often a duty with nothing to do looks again.
constexpr milliseconds idle_period{500};

} // namespace

engine_controller::engine_controller(const backend_entry& entry, engine_controller_options options,
                                     instant now)
    : options_(options), entry_(entry), report_at_(now + options.report_lag), retry_at_(now),
      begun_at_(now)
{
    take_models(entry.models, now);
}

void engine_controller::take_models(const loaded_models& models, instant now)
{
    std::erase_if(models_, [&](const auto& it) { return !models.contains(it.first); });
    for (const auto& [id, adapters] : models)
    {
        auto [it, is_new] = models_.try_emplace(id);
        auto& model = it->second;
        if (is_new)
        {
            model.ready_at = now;
            model.rate_at = now;
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
    if (entry.start_time_ms < entry_.start_time_ms || entry == entry_)
    {
        return;
    }
    bool reborn = entry.start_time_ms > entry_.start_time_ms;
    entry_ = entry;
    if (reborn)
    {
        models_.clear();
        unloading_.reset();
        take_models(entry.models, now);
        orders_.reset();
        report_at_ = now;
        return;
    }
    if (unloading_ && !entry.models.contains(*unloading_))
    {
        // The load that follows can be taken now; until it is, the memory counts as used.
        retry_at_ = now;
    }
    bool same = models_.size() == entry.models.size() &&
                std::all_of(models_.begin(), models_.end(),
                            [&](const auto& it) { return entry.models.contains(it.first); });
    if (orders_ && !same && now - ordered_at_ > options_.entry_lag)
    {
        // An order of an earlier holder was carried out late.
        orders_.reset();
        report_at_ = now;
    }
}

void engine_controller::adopt(const engine_report& report, instant now)
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
        if (unloading_)
        {
            orders_ = report.orders_accepted;
        }
        return;
    }
    unloading_.reset();
    for (auto& [id, model] : models_)
    {
        model.leaving = false;
        model.from_store = false;
        model.ready_at = std::min(model.ready_at, now);
    }
    take_models(report.models, now);
    orders_ = report.orders_accepted;
    retry_at_ = now;
}

void engine_controller::request_load(const model_target& unit, milliseconds waited, instant now)
{
    auto [it, is_new] = wishes_.try_emplace(unit, wished{.first = now - waited, .last = now});
    it->second.last = now;
    it->second.first = std::min(it->second.first, now - waited);
}

void engine_controller::record_use(const host_id& host, const model_target& unit, int running,
                                   int asked, instant now)
{
    uses_[unit][host] = {.running = running, .at = now};
    auto model = models_.find(unit.model);
    if (model == models_.end())
    {
        return;
    }
    model->second.rate = rate(model->second, now) + asked / rate_seconds;
    model->second.rate_at = now;
    auto adapter = model->second.adapters.find(unit.adapter);
    if (adapter != model->second.adapters.end() && (running > 0 || asked > 0))
    {
        adapter->second.used_at = now;
    }
}

double engine_controller::rate(const model_state& model, instant now) const
{
    std::chrono::duration<double> passed = now - model.rate_at;
    return model.rate * std::exp(-passed.count() / rate_seconds);
}

int engine_controller::running(const model_target& unit, instant now) const
{
    auto it = uses_.find(unit);
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
    for (const auto& [unit, hosts] : uses_)
    {
        sum += unit.model == model ? running(unit, now) : 0;
    }
    return sum;
}

double engine_controller::weights(const engine_spec& engine) const
{
    double sum = 0;
    for (const auto& [id, model] : models_)
    {
        auto spec = engine.models.find(id);
        if (spec != engine.models.end())
        {
            sum += spec->second.weights_mb;
            sum += static_cast<double>(model.adapters.size()) * spec->second.adapter_mb;
        }
    }
    return sum;
}

int engine_controller::adapters() const
{
    std::size_t sum = 0;
    for (const auto& [id, model] : models_)
    {
        sum += model.adapters.size();
    }
    return static_cast<int>(sum);
}

bool engine_controller::loading(instant now) const
{
    return std::any_of(models_.begin(), models_.end(),
                       [&](const auto& it) { return it.second.ready_at > now; });
}

milliseconds engine_controller::load_length(const model_spec& model) const
{
    if (entry_.in_memory.contains(model.id))
    {
        return model.load_from_memory + load_slack;
    }
    return (entry_.on_disk.contains(model.id) ? model.load_from_disk : model.load_from_store) +
           load_slack;
}

engine_controller::step engine_controller::decide(const engine_spec& engine, const context& around,
                                                  instant now)
{
    std::erase_if(wishes_,
                  [&](const auto& it) { return now - it.second.last > options_.request_ttl; });
    step nothing{.action = step::action_kind::none, .order = {}, .recheck_at = now + idle_period};
    if (entry_.draining)
    {
        return nothing;
    }
    if (!orders_)
    {
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
        nothing.recheck_at = retry_at_;
        return nothing;
    }
    bool overdue = std::any_of(models_.begin(), models_.end(),
                               [&](const auto& it)
                               { return it.second.from_store && it.second.ready_at <= now; });
    if (overdue)
    {
        orders_.reset();
        report_at_ = now + options_.overdue_recheck;
        return {.action = step::action_kind::query_report, .order = {}, .recheck_at = {}};
    }
    if (loading(now))
    {
        for (const auto& [id, model] : models_)
        {
            nothing.recheck_at = model.ready_at > now ? std::min(nothing.recheck_at, model.ready_at)
                                                      : nothing.recheck_at;
        }
        return nothing;
    }
    if (unloading_)
    {
        return load_model(next_model(now), around, now);
    }
    if (auto next = adapter_step(engine, now))
    {
        return *next;
    }
    if (auto next = model_step(engine, around, now))
    {
        return *next;
    }
    return nothing;
}

std::optional<engine_controller::step> engine_controller::adapter_step(const engine_spec& engine,
                                                                       instant now)
{
    int coming = 0;
    for (const auto& [id, model] : models_)
    {
        coming +=
            static_cast<int>(std::count_if(model.adapters.begin(), model.adapters.end(),
                                           [&](const auto& a) { return a.second.ready_at > now; }));
    }
    const model_target* oldest = nullptr;
    instant oldest_at = instant::max();
    for (const auto& [unit, wish] : wishes_)
    {
        auto model = models_.find(unit.model);
        bool loadable = !unit.adapter.empty() && model != models_.end() && !model->second.leaving &&
                        !model->second.adapters.contains(unit.adapter);
        if (loadable && wish.first < oldest_at)
        {
            oldest = &unit;
            oldest_at = wish.first;
        }
    }
    if (!oldest || coming >= options_.max_adapters_loading)
    {
        return std::nullopt;
    }
    auto spec = engine.models.find(oldest->model);
    double size = spec == engine.models.end() ? 0 : spec->second.adapter_mb;
    if (adapters() < engine.adapter_slots && weights(engine) + size <= engine.memory_mb)
    {
        return step{.action = step::action_kind::order,
                    .order = {.action = engine_order::action_kind::load,
                              .model = oldest->model,
                              .adapter = oldest->adapter,
                              .expected_orders = *orders_},
                    .recheck_at = {}};
    }
    std::optional<model_target> idle;
    instant idle_since = now;
    for (const auto& [id, model] : models_)
    {
        for (const auto& [adapter, state] : model.adapters)
        {
            model_target unit{.model = id, .adapter = adapter};
            bool wished_for = wishes_.contains(unit);
            if (state.ready_at <= now && !wished_for && running(unit, now) == 0 &&
                state.used_at < idle_since)
            {
                idle = unit;
                idle_since = state.used_at;
            }
        }
    }
    if (!idle)
    {
        return std::nullopt;
    }
    return step{.action = step::action_kind::order,
                .order = {.action = engine_order::action_kind::unload,
                          .model = idle->model,
                          .adapter = idle->adapter,
                          .expected_orders = *orders_},
                .recheck_at = {}};
}

model_id engine_controller::next_model(instant now) const
{
    const model_target* oldest = nullptr;
    instant oldest_at = now;
    for (const auto& [unit, wish] : wishes_)
    {
        if (unit.model == after_unload_)
        {
            return after_unload_;
        }
        if (!models_.contains(unit.model) && wish.first <= oldest_at)
        {
            oldest = &unit;
            oldest_at = wish.first;
        }
    }
    return oldest ? oldest->model : after_unload_;
}

std::optional<engine_controller::step>
engine_controller::model_step(const engine_spec& engine, const context& around, instant now)
{
    const model_target* oldest = nullptr;
    instant oldest_at = instant::max();
    for (const auto& [unit, wish] : wishes_)
    {
        if (!models_.contains(unit.model) && engine.models.contains(unit.model) &&
            wish.first < oldest_at && !around.available_elsewhere(unit.model))
        {
            oldest = &unit;
            oldest_at = wish.first;
        }
    }
    if (!oldest)
    {
        return std::nullopt;
    }
    const auto& spec = engine.models.at(oldest->model);
    if (weights(engine) + spec.weights_mb <= engine.memory_mb)
    {
        return load_model(oldest->model, around, now);
    }
    auto waited = std::chrono::floor<milliseconds>(now - oldest_at);
    auto out = victim(around, waited, now);
    if (!out)
    {
        return step{.action = step::action_kind::none,
                    .order = {},
                    .recheck_at = now + options_.conflict_backoff};
    }
    // Other hosts must stop sending there before the order goes out.
    after_unload_ = oldest->model;
    return step{.action = step::action_kind::order,
                .order = {.action = engine_order::action_kind::unload,
                          .model = *out,
                          .adapter = {},
                          .expected_orders = *orders_},
                .recheck_at = {}};
}

std::optional<model_id> engine_controller::victim(const context& around, milliseconds waited,
                                                  instant now) const
{
    std::optional<model_id> best;
    if (now - begun_at_ < options_.usage_warmup)
    {
        return best;
    }
    double least = std::numeric_limits<double>::max();
    for (const auto& [id, model] : models_)
    {
        if (model.leaving || model.ready_at + options_.min_residency > now)
        {
            continue;
        }
        int busy = running_model(id, now);
        bool redundant = around.count_other_replicas(id) > 0;
        if (busy > 0 &&
            waited < (redundant ? options_.busy_eviction_delay : 3 * options_.busy_eviction_delay))
        {
            continue;
        }
        double worth = rate(model, now) + running_worth * busy;
        worth *= redundant ? redundant_part : 1;
        if (worth < least)
        {
            least = worth;
            best = id;
        }
    }
    return best;
}

engine_controller::step engine_controller::load_model(const model_id& model, const context& around,
                                                      instant now)
{
    bool at_hand = entry_.in_memory.contains(model) || entry_.on_disk.contains(model);
    if (!at_hand && store_load_for_ != model)
    {
        if (!around.acquire_store_load())
        {
            retry_at_ = now + options_.max_conflict_backoff;
            return {.action = step::action_kind::none, .order = {}, .recheck_at = retry_at_};
        }
        store_load_for_ = model;
    }
    return {.action = step::action_kind::order,
            .order = {.action = engine_order::action_kind::load,
                      .model = model,
                      .adapter = {},
                      .expected_orders = *orders_},
            .recheck_at = {}};
}

void engine_controller::handle_response(const engine_order& order, order_response answer,
                                        const engine_spec& engine, instant now)
{
    ordered_at_ = now;
    if (answer == order_response::unknown || answer == order_response::refused)
    {
        orders_.reset();
        report_at_ = now + options_.report_lag;
        return;
    }
    if (answer == order_response::conflict)
    {
        if (conflict_pause_.count() == 0)
        {
            conflict_since_ = now;
        }
        if (unloading_ && now - conflict_since_ < options_.conflict_timeout)
        {
            // It waits for the runs of the model that leaves.
            conflict_pause_ = std::clamp(conflict_pause_ * 2, options_.conflict_backoff,
                                         options_.max_conflict_backoff);
            retry_at_ = now + conflict_pause_;
            return;
        }
        conflict_pause_ = milliseconds(0);
        orders_.reset();
        report_at_ = unloading_ ? now : now + options_.report_lag;
        return;
    }
    conflict_pause_ = milliseconds(0);
    bool loads = order.action == engine_order::action_kind::load;
    bool counted = answer == order_response::accepted || (!loads && !order.adapter.empty());
    if (orders_ && counted)
    {
        ++*orders_;
    }
    if (!order.adapter.empty())
    {
        auto model = models_.find(order.model);
        if (model != models_.end() && loads)
        {
            model->second.adapters[order.adapter] = {
                .ready_at =
                    answer == order_response::already_done ? now : now + options_.adapter_load_time,
                .used_at = now};
        }
        else if (answer == order_response::accepted)
        {
            // It keeps its place until its runs have ended; only a report says when.
            orders_.reset();
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
        if (answer == order_response::already_done)
        {
            models_.erase(order.model);
            return;
        }
        unloading_ = order.model;
        models_[order.model].leaving = true;
        return;
    }
    if (unloading_)
    {
        models_.erase(*unloading_);
        unloading_.reset();
    }
    store_load_for_.reset();
    auto& model = models_[order.model];
    auto spec = engine.models.find(order.model);
    model = {};
    model.rate_at = now;
    model.from_store = answer == order_response::accepted &&
                       !entry_.in_memory.contains(order.model) &&
                       !entry_.on_disk.contains(order.model);
    model.ready_at = answer == order_response::already_done || spec == engine.models.end()
                         ? now
                         : now + load_length(spec->second);
}

server_placement engine_controller::placement(const engine_spec& engine, instant now) const
{
    server_placement told;
    told.start_time_ms = entry_.start_time_ms;
    told.reported_at = now;
    told.next_load_at = now;
    bool any_idle = false;
    bool idle_adapter = false;
    for (const auto& [id, model] : models_)
    {
        held_model held{.ready_at = model.ready_at,
                        .adapters = {},
                        .unloading = model.leaving,
                        .from_store = model.from_store};
        if (model.from_store)
        {
            // Not before a report says so.
            held.ready_at = std::max(model.ready_at, now) + load_slack;
        }
        for (const auto& [adapter, state] : model.adapters)
        {
            held.adapters.emplace(adapter, state.ready_at);
            idle_adapter = idle_adapter || (state.ready_at <= now &&
                                            running({.model = id, .adapter = adapter}, now) == 0);
        }
        told.models.emplace(id, std::move(held));
        told.next_load_at = std::max(told.next_load_at, model.ready_at);
        any_idle = any_idle || running_model(id, now) == 0;
    }
    auto next = engine.models.find(after_unload_);
    if (unloading_ && next != engine.models.end())
    {
        // Told at once, so that no other server loads it as well.
        told.models.emplace(after_unload_,
                            held_model{.ready_at = now + usual_unload + load_length(next->second)});
    }
    told.adapter_room = idle_adapter || adapters() < engine.adapter_slots;
    double largest = 0;
    for (const auto& [id, spec] : engine.models)
    {
        largest = std::max(largest, spec.weights_mb);
    }
    bool room = any_idle || weights(engine) + largest <= engine.memory_mb;
    if (!room || unloading_ || !orders_)
    {
        told.next_load_at += busy_room;
    }
    return told;
}

} // namespace banyanshunt
