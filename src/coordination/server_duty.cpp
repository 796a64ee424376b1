#include "coordination/server_duty.hpp"

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

server_duty::server_duty(const backend_entry& entry, server_duty_options options, instant now)
    : options_(options), entry_(entry), report_at_(now + options.report_lag), retry_at_(now),
      begun_at_(now)
{
    take_models(entry.models, now);
}

void server_duty::take_models(const model_holdings& models, instant now)
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

void server_duty::adopt(const backend_entry& entry, instant now)
{
    if (entry.born_ms < entry_.born_ms || entry == entry_)
    {
        return;
    }
    bool reborn = entry.born_ms > entry_.born_ms;
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

void server_duty::adopt(const engine_report& report, instant now)
{
    if (report.born_ms < entry_.born_ms)
    {
        return;
    }
    if (report.busy)
    {
        report_at_ = now + options_.report_lag;
        retry_at_ = now + options_.longest_conflict_pause;
        for (auto& [id, model] : models_)
        {
            if (model.from_store && !report.models.contains(id))
            {
                model.ready_at = std::max(model.ready_at, now + options_.overdue_period);
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

void server_duty::wish(const engine_unit& unit, milliseconds waited, instant now)
{
    auto [it, is_new] = wishes_.try_emplace(unit, wished{.first = now - waited, .last = now});
    it->second.last = now;
    it->second.first = std::min(it->second.first, now - waited);
}

void server_duty::note_use(const host_id& host, const engine_unit& unit, int running, int asked,
                           instant now)
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

double server_duty::rate(const model_state& model, instant now) const
{
    std::chrono::duration<double> passed = now - model.rate_at;
    return model.rate * std::exp(-passed.count() / rate_seconds);
}

int server_duty::running(const engine_unit& unit, instant now) const
{
    auto it = uses_.find(unit);
    if (it == uses_.end())
    {
        return 0;
    }
    int sum = 0;
    for (const auto& [host, use] : it->second)
    {
        sum += now - use.at < options_.use_for ? use.running : 0;
    }
    return sum;
}

int server_duty::running_model(const model_id& model, instant now) const
{
    int sum = 0;
    for (const auto& [unit, hosts] : uses_)
    {
        sum += unit.model == model ? running(unit, now) : 0;
    }
    return sum;
}

double server_duty::weights(const engine_spec& engine) const
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

int server_duty::adapters() const
{
    std::size_t sum = 0;
    for (const auto& [id, model] : models_)
    {
        sum += model.adapters.size();
    }
    return static_cast<int>(sum);
}

bool server_duty::loading(instant now) const
{
    return std::any_of(models_.begin(), models_.end(),
                       [&](const auto& it) { return it.second.ready_at > now; });
}

milliseconds server_duty::load_length(const model_spec& model) const
{
    if (entry_.in_memory.contains(model.id))
    {
        return model.load_from_memory + load_slack;
    }
    return (entry_.on_disk.contains(model.id) ? model.load_from_disk : model.load_from_store) +
           load_slack;
}

server_duty::step server_duty::decide(const engine_spec& engine, const surroundings& around,
                                      instant now)
{
    std::erase_if(wishes_,
                  [&](const auto& it) { return now - it.second.last > options_.wish_for; });
    step nothing{.what = step::kind::nothing, .order = {}, .again_at = now + idle_period};
    if (entry_.draining)
    {
        return nothing;
    }
    if (!orders_)
    {
        if (now < report_at_)
        {
            nothing.again_at = report_at_;
            return nothing;
        }
        report_at_ = now + options_.report_lag;
        return {.what = step::kind::ask_report, .order = {}, .again_at = {}};
    }
    if (now < retry_at_)
    {
        nothing.again_at = retry_at_;
        return nothing;
    }
    bool overdue = std::any_of(models_.begin(), models_.end(),
                               [&](const auto& it)
                               { return it.second.from_store && it.second.ready_at <= now; });
    if (overdue)
    {
        orders_.reset();
        report_at_ = now + options_.overdue_period;
        return {.what = step::kind::ask_report, .order = {}, .again_at = {}};
    }
    if (loading(now))
    {
        for (const auto& [id, model] : models_)
        {
            nothing.again_at = model.ready_at > now ? std::min(nothing.again_at, model.ready_at)
                                                    : nothing.again_at;
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

std::optional<server_duty::step> server_duty::adapter_step(const engine_spec& engine, instant now)
{
    int coming = 0;
    for (const auto& [id, model] : models_)
    {
        coming +=
            static_cast<int>(std::count_if(model.adapters.begin(), model.adapters.end(),
                                           [&](const auto& a) { return a.second.ready_at > now; }));
    }
    const engine_unit* oldest = nullptr;
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
    if (!oldest || coming >= options_.most_adapters_coming)
    {
        return std::nullopt;
    }
    auto spec = engine.models.find(oldest->model);
    double size = spec == engine.models.end() ? 0 : spec->second.adapter_mb;
    if (adapters() < engine.adapter_slots && weights(engine) + size <= engine.weights_mb)
    {
        return step{.what = step::kind::order,
                    .order = {.what = engine_order::action::load,
                              .model = oldest->model,
                              .adapter = oldest->adapter,
                              .expected_orders = *orders_},
                    .again_at = {}};
    }
    std::optional<engine_unit> idle;
    instant idle_since = now;
    for (const auto& [id, model] : models_)
    {
        for (const auto& [adapter, state] : model.adapters)
        {
            engine_unit unit{.model = id, .adapter = adapter};
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
    return step{.what = step::kind::order,
                .order = {.what = engine_order::action::unload,
                          .model = idle->model,
                          .adapter = idle->adapter,
                          .expected_orders = *orders_},
                .again_at = {}};
}

model_id server_duty::next_model(instant now) const
{
    const engine_unit* oldest = nullptr;
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

std::optional<server_duty::step> server_duty::model_step(const engine_spec& engine,
                                                         const surroundings& around, instant now)
{
    const engine_unit* oldest = nullptr;
    instant oldest_at = instant::max();
    for (const auto& [unit, wish] : wishes_)
    {
        if (!models_.contains(unit.model) && engine.models.contains(unit.model) &&
            wish.first < oldest_at && !around.covered(unit.model))
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
    if (weights(engine) + spec.weights_mb <= engine.weights_mb)
    {
        return load_model(oldest->model, around, now);
    }
    auto waited = std::chrono::floor<milliseconds>(now - oldest_at);
    auto out = victim(around, waited, now);
    if (!out)
    {
        return step{
            .what = step::kind::nothing, .order = {}, .again_at = now + options_.conflict_pause};
    }
    // Other hosts must stop sending there before the order goes out.
    after_unload_ = oldest->model;
    return step{.what = step::kind::order,
                .order = {.what = engine_order::action::unload,
                          .model = *out,
                          .adapter = {},
                          .expected_orders = *orders_},
                .again_at = {}};
}

std::optional<model_id> server_duty::victim(const surroundings& around, milliseconds waited,
                                            instant now) const
{
    std::optional<model_id> best;
    if (now - begun_at_ < options_.use_known_after)
    {
        return best;
    }
    double least = std::numeric_limits<double>::max();
    for (const auto& [id, model] : models_)
    {
        if (model.leaving || model.ready_at + options_.least_stay > now)
        {
            continue;
        }
        int busy = running_model(id, now);
        bool redundant = around.other_holders(id) > 0;
        if (busy > 0 &&
            waited < (redundant ? options_.wait_for_running : 3 * options_.wait_for_running))
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

server_duty::step server_duty::load_model(const model_id& model, const surroundings& around,
                                          instant now)
{
    bool at_hand = entry_.in_memory.contains(model) || entry_.on_disk.contains(model);
    if (!at_hand && store_load_for_ != model)
    {
        if (!around.take_store_load())
        {
            retry_at_ = now + options_.longest_conflict_pause;
            return {.what = step::kind::nothing, .order = {}, .again_at = retry_at_};
        }
        store_load_for_ = model;
    }
    return {.what = step::kind::order,
            .order = {.what = engine_order::action::load,
                      .model = model,
                      .adapter = {},
                      .expected_orders = *orders_},
            .again_at = {}};
}

void server_duty::answered(const engine_order& order, order_answer answer,
                           const engine_spec& engine, instant now)
{
    ordered_at_ = now;
    if (answer == order_answer::unknown || answer == order_answer::refused)
    {
        orders_.reset();
        report_at_ = now + options_.report_lag;
        return;
    }
    if (answer == order_answer::conflict)
    {
        if (conflict_pause_.count() == 0)
        {
            conflict_since_ = now;
        }
        if (unloading_ && now - conflict_since_ < options_.longest_conflict)
        {
            // It waits for the runs of the model that leaves.
            conflict_pause_ = std::clamp(conflict_pause_ * 2, options_.conflict_pause,
                                         options_.longest_conflict_pause);
            retry_at_ = now + conflict_pause_;
            return;
        }
        conflict_pause_ = milliseconds(0);
        orders_.reset();
        report_at_ = unloading_ ? now : now + options_.report_lag;
        return;
    }
    conflict_pause_ = milliseconds(0);
    bool loads = order.what == engine_order::action::load;
    bool counted = answer == order_answer::accepted || (!loads && !order.adapter.empty());
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
                .ready_at = answer == order_answer::holds ? now : now + options_.adapter_load,
                .used_at = now};
        }
        else if (answer == order_answer::accepted)
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
        if (answer == order_answer::holds)
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
    model.from_store = answer == order_answer::accepted &&
                       !entry_.in_memory.contains(order.model) &&
                       !entry_.on_disk.contains(order.model);
    model.ready_at = answer == order_answer::holds || spec == engine.models.end()
                         ? now
                         : now + load_length(spec->second);
}

server_placement server_duty::placement(const engine_spec& engine, instant now) const
{
    server_placement told;
    told.born_ms = entry_.born_ms;
    told.told_at = now;
    told.room_at = now;
    bool any_idle = false;
    bool idle_adapter = false;
    for (const auto& [id, model] : models_)
    {
        held_model held{.ready_at = model.ready_at,
                        .adapters = {},
                        .leaving = model.leaving,
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
        told.room_at = std::max(told.room_at, model.ready_at);
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
    bool room = any_idle || weights(engine) + largest <= engine.weights_mb;
    if (!room || unloading_ || !orders_)
    {
        told.room_at += busy_room;
    }
    return told;
}

} // namespace banyanshunt
