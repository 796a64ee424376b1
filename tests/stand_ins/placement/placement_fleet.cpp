#include "stand_ins/placement/placement_fleet.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr int thousand = 1000;
constexpr std::uint64_t million = 1'000'000;

held_replica* find_held(engine_report& engine, const model_id& model)
{
    return const_cast<held_replica*>(find_replica(engine, model));
}

} // namespace

bool placement_fleet::chance(int thousandths)
{
    return thousandths > 0 && static_cast<int>(random_() % thousand) < thousandths;
}

void placement_fleet::add(const server_id& server, mebibytes memory)
{
    engines_[server] = {.incarnation = incarnation_id(1),
                        .memory_total = memory,
                        .memory_used = {},
                        .fencing = {},
                        .replicas = {},
                        .cached = {}};
}

void placement_fleet::cache(const server_id& server, const cached_checkpoint& checkpoint)
{
    engines_[server].cached.push_back(checkpoint);
}

void placement_fleet::remove(const server_id& server)
{
    engines_.erase(server);
    std::erase_if(active_, [&](const active_load& it) { return it.server == server; });
    std::erase_if(delayed_, [&](const delayed_order& it) { return it.order.server == server; });
    std::erase_if(unused_, [&](const replica_location& it) { return it.server == server; });
}

std::optional<engine_report> placement_fleet::read_back(const server_id& server)
{
    auto it = engines_.find(server);
    if (it == engines_.end() || chance(options_.faults.report_lost))
    {
        return std::nullopt;
    }
    return it->second;
}

order_response placement_fleet::order(const planned_order& it, instant now)
{
    if (!alive(it.server))
    {
        return order_response::refused;
    }
    if (chance(options_.faults.order_lost))
    {
        return order_response::unknown;
    }
    if (chance(options_.faults.order_delayed))
    {
        auto range = static_cast<std::uint64_t>(options_.max_order_delay.count());
        milliseconds delay(static_cast<std::int64_t>(random_() % range));
        delayed_.push_back({.order = it, .due = now + delay});
        return order_response::unknown;
    }
    apply(it, now);
    return chance(options_.faults.response_lost) ? order_response::unknown
                                                 : order_response::accepted;
}

void placement_fleet::apply(const planned_order& it, instant now)
{
    auto engine = engines_.find(it.server);
    if (engine == engines_.end())
    {
        return;
    }
    switch (it.order.kind)
    {
    case order_kind::load_model:
        load_model(engine->second, it, now);
        return;
    case order_kind::load_adapter:
        load_adapter(engine->second, it, now);
        return;
    case order_kind::unload_model:
        unload_model(engine->second, it);
        return;
    case order_kind::unload_adapter:
        return;
    }
}

void placement_fleet::load_model(engine_report& engine, const planned_order& it, instant now)
{
    if (find_held(engine, it.order.model))
    {
        return;
    }
    engine.memory_used += it.order.memory;
    engine.replicas.push_back({.model = it.order.model,
                               .version = it.order.version,
                               .phase = replica_phase::loading,
                               .memory = it.order.memory,
                               .adapters = {},
                               .adapters_loading = {},
                               .running = 0});
    auto tier = cached_tier(engine, it.order.model, it.order.version);
    milliseconds time = tier == checkpoint_tier::memory ? options_.memory_time
                        : tier == checkpoint_tier::disk ? options_.disk_time
                                                        : options_.remote_time;
    instant granted = now;
    if (tier == checkpoint_tier::remote)
    {
        granted = std::max(now, next_grant_);
        next_grant_ =
            granted + std::chrono::seconds(thousand) / options_.limits.milliloads_per_second;
    }
    active_.push_back({.server = it.server,
                       .target = {.model = it.order.model, .adapter = {}},
                       .tier = tier,
                       .left_ms = static_cast<double>(time.count()),
                       .granted = granted});
    ++loads_started_;
}

void placement_fleet::load_adapter(engine_report& engine, const planned_order& it, instant now)
{
    held_replica* replica = find_held(engine, it.order.model);
    if (!replica)
    {
        return;
    }
    engine.memory_used += it.order.memory;
    replica->memory += it.order.memory;
    replica->adapters_loading.push_back(it.order.adapter);
    active_.push_back({.server = it.server,
                       .target = {.model = it.order.model, .adapter = it.order.adapter},
                       .tier = checkpoint_tier::memory,
                       .left_ms = static_cast<double>(options_.adapter_time.count()),
                       .granted = now});
}

void placement_fleet::drop_replica(const server_id& server, const model_id& model)
{
    engine_report& engine = engines_[server];
    held_replica* replica = find_held(engine, model);
    if (!replica)
    {
        return;
    }
    engine.memory_used -= replica->memory;
    violations_.aborted_requests += replica->running;
    std::erase_if(engine.replicas, [&](const held_replica& it) { return it.model == model; });
    std::erase_if(active_, [&](const active_load& it)
                  { return it.server == server && it.target.model == model; });
    loads_wasted_ += static_cast<int>(unused_.erase({.server = server, .model = model}));
}

void placement_fleet::unload_model(engine_report&, const planned_order& it)
{
    drop_replica(it.server, it.order.model);
}

void placement_fleet::restart(const server_id& server)
{
    engine_report& engine = engines_[server];
    engine.incarnation += incarnation_id(1);
    engine.memory_used = {};
    engine.replicas.clear();
    std::erase_if(active_, [&](const active_load& it) { return it.server == server; });
    std::erase_if(unused_, [&](const replica_location& it) { return it.server == server; });
}

void placement_fleet::finish(const active_load& load)
{
    engine_report& engine = engines_[load.server];
    held_replica* replica = find_held(engine, load.target.model);
    if (!load.target.adapter.empty())
    {
        std::erase(replica->adapters_loading, load.target.adapter);
        replica->adapters.push_back(load.target.adapter);
        return;
    }
    replica->phase = replica_phase::ready;
    std::erase_if(engine.cached,
                  [&](const cached_checkpoint& it) { return it.model == load.target.model; });
    engine.cached.push_back(
        {.model = load.target.model, .version = replica->version, .tier = checkpoint_tier::memory});
    unused_.insert({.server = load.server, .model = load.target.model});
}

void placement_fleet::advance_loads(instant now, milliseconds by)
{
    int remote = 0;
    int adapters = 0;
    for (const auto& it : active_)
    {
        remote += it.tier == checkpoint_tier::remote && it.granted <= now ? 1 : 0;
        adapters += it.target.adapter.empty() ? 0 : 1;
    }
    double remote_speed =
        std::min(1.0, double(options_.limits.full_speed_loads) / std::max(remote, 1));
    double adapter_speed =
        std::min(1.0, double(options_.limits.full_speed_adapters) / std::max(adapters, 1));
    std::vector<active_load> finished;
    for (auto& it : active_)
    {
        bool adapter = !it.target.adapter.empty();
        bool from_store = it.tier == checkpoint_tier::remote;
        double speed = adapter ? adapter_speed : from_store ? remote_speed : 1.0;
        it.left_ms -= it.granted <= now ? speed * static_cast<double>(by.count()) : 0;
        if (it.left_ms <= 0)
        {
            finished.push_back(it);
        }
    }
    std::erase_if(active_, [](const active_load& it) { return it.left_ms <= 0; });
    for (const auto& it : finished)
    {
        finish(it);
    }
}

bool placement_fleet::ready(const server_id& server, const model_id& model,
                            const adapter_id& adapter) const
{
    auto it = engines_.find(server);
    const held_replica* replica = it == engines_.end() ? nullptr : find_replica(it->second, model);
    bool base_ready = replica && replica->phase == replica_phase::ready;
    return base_ready && (adapter.empty() || std::count(replica->adapters.begin(),
                                                        replica->adapters.end(), adapter) > 0);
}

void placement_fleet::add_running(const server_id& server, const model_id& model, int change)
{
    auto it = engines_.find(server);
    held_replica* replica = it == engines_.end() ? nullptr : find_held(it->second, model);
    if (replica)
    {
        replica->running = std::max(replica->running + change, 0);
        unused_.erase({.server = server, .model = model});
    }
}

void placement_fleet::step(instant now, milliseconds by, const fleet_state& state)
{
    std::vector<delayed_order> due;
    std::copy_if(delayed_.begin(), delayed_.end(), std::back_inserter(due),
                 [&](const delayed_order& it) { return it.due <= now; });
    std::erase_if(delayed_, [&](const delayed_order& it) { return it.due <= now; });
    for (const auto& it : due)
    {
        apply(it.order, now);
    }
    advance_loads(now, by);
    for (const auto& [server, engine] : engines_)
    {
        auto restart_chance =
            static_cast<std::uint64_t>(options_.faults.engine_restart * by.count());
        if (restart_chance > 0 && random_() % million < restart_chance)
        {
            restart(server);
        }
    }
    check(state);
}

int placement_fleet::replicas_of(const model_id& model) const
{
    return static_cast<int>(std::count_if(engines_.begin(), engines_.end(),
                                          [&](const auto& it)
                                          { return find_replica(it.second, model) != nullptr; }));
}

void placement_fleet::check(const fleet_state& state)
{
    for (const auto& [server, engine] : engines_)
    {
        violations_.memory += engine.memory_used > engine.memory_total ? 1 : 0;
    }
    for (const auto& [id, entry] : state.models)
    {
        violations_.replicas += replicas_of(id) > entry->value->max_replicas ? 1 : 0;
    }
}

double placement_fleet::idle_accelerators() const
{
    double sum = 0;
    for (const auto& [server, engine] : engines_)
    {
        for (const auto& replica : engine.replicas)
        {
            bool idle = replica.phase == replica_phase::ready && replica.running == 0;
            sum += idle ? static_cast<double>(replica.memory.count()) /
                              static_cast<double>(engine.memory_total.count())
                        : 0;
        }
    }
    return sum;
}

} // namespace banyanshunt
