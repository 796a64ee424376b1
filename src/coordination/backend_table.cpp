#include "coordination/backend_table.hpp"

#include <algorithm>
#include <limits>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

namespace
{

/// Weight of a request's outcome in the moving failure ratio, which so covers about ten requests.
constexpr double outcome_weight = 0.12;
/// Cost of a server that fails all its requests; a fully loaded server costs 1.
constexpr double failing_cost = 1.5;
/// Cost of a server of half the usual speed beside its load: its streams pause for longer, so that
/// a prompt that is read there, or a short stall, makes more of them late.
constexpr double slow_cost = 0.3;
/// Added to the expected time of a load on such a server, in ms: what is loaded stays for many
/// requests.
constexpr double slow_load_ms = 400;
/// Cost of a server in another failure domain: traffic between domains is charged.
constexpr double cross_domain_cost = 0.02;
/// Cost of a server in backoff after failures: at least that of a full one.
constexpr double backoff_cost = 4.0;
/// Cost of a server that would have to load the adapter first and that no host orders.
constexpr double unordered_cost = backoff_cost;
/// Cost of a server that stated a limit a moment ago: others take what they can.
constexpr double limited_cost = 0.5;
/// Added to the expected time of a load on a server that states a limit.
constexpr double limited_load_ms = 2000;
/// How long a target counts as not held after the server reported so.
constexpr milliseconds initial_denial{120};
constexpr milliseconds max_denial{960};
/// Largest term that `rendezvous_weight` adds to the cost of a load, so that hosts agree on one
/// server among equivalent ones.
constexpr double tie_break_ms = 60;
constexpr int max_doublings = 6;
/// Estimates of when a server has room are sent again when they differ by this much, a fraction of
/// the time of a load from disk.
constexpr milliseconds room_tolerance{400};
/// How long an adapter takes to load, as the platform documentation states it.
constexpr milliseconds typical_adapter_load{10};

} // namespace

model_target target_of(const engine_spec* engine, const model_id& model, const adapter_id& adapter)
{
    return engine ? model_target{.model = model, .adapter = adapter} : model_target{};
}

bool equivalent_reports(const server_placement& a, const server_placement& b, instant now)
{
    // Both have room now, or both will have room at about the same time.
    bool same_room =
        (a.next_load_at <= now) == (b.next_load_at <= now) &&
        std::max(a.next_load_at - b.next_load_at, b.next_load_at - a.next_load_at) < room_tolerance;
    same_room = same_room || (a.next_load_at <= now && b.next_load_at <= now);
    return a.fencing == b.fencing && a.start_time_ms == b.start_time_ms &&
           a.adapter_room == b.adapter_room && a.models == b.models && same_room;
}

bool backend_table::apply_entry(const backend_entry& entry, instant now, log_offset offset)
{
    auto [it, is_new] = servers_.try_emplace(entry.id);
    record& known = it->second;
    bool from_log = offset.count() > 0;
    auto record_leaving = [&]
    {
        if (entry.draining)
        {
            notices_.record_leaving(entry.id,
                                    {.start_time_ms = entry.start_time_ms,
                                     .source = notice_source::registry,
                                     .stated_at = now},
                                    now);
        }
    };
    if (is_new)
    {
        known.entry = entry;
        known.offset = offset;
        known.newest_at = from_log ? now : instant::min();
        known.received_at = now;
        record_leaving();
        return true;
    }
    bool same_incarnation = entry.start_time_ms == known.entry.start_time_ms;
    bool older = from_log ? offset < known.offset
                          : entry.start_time_ms < known.entry.start_time_ms ||
                                (same_incarnation && entry.sequence < known.entry.sequence);
    if (older)
    {
        return false;
    }
    record_leaving();
    known.offset = offset;
    if (same_incarnation && known.entry.draining && !entry.draining)
    {
        return false;
    }
    if (!same_incarnation)
    {
        limits_.forget_earlier(entry.id, entry.start_time_ms);
        known.placement.reset();
        known.denied.clear();
        known.failures = 0;
        known.failure_ratio = 0;
        known.avoid_until = now;
    }
    known.newest_at = from_log ? now : same_incarnation ? known.newest_at : instant::min();
    known.entry = entry;
    known.removed = false;
    return true;
}

void backend_table::confirm_newest(const server_id& server, instant now)
{
    auto it = servers_.find(server);
    if (it != servers_.end())
    {
        it->second.newest_at = now;
    }
}

void backend_table::forget_offsets()
{
    for (auto& [id, it] : servers_)
    {
        it.offset = {};
    }
}

bool backend_table::set_evacuated(std::set<domain_id> domains)
{
    bool changed = domains != evacuated_;
    evacuated_ = std::move(domains);
    return changed;
}

void backend_table::remove(const server_id& server)
{
    auto it = servers_.find(server);
    if (it == servers_.end())
    {
        return;
    }
    if (it->second.running == 0)
    {
        servers_.erase(it);
        return;
    }
    it->second.removed = true;
}

void backend_table::apply_placement(const server_id& server, server_placement placement)
{
    auto it = servers_.find(server);
    if (it == servers_.end() || it->second.entry.start_time_ms > placement.start_time_ms)
    {
        return;
    }
    auto& known = it->second.placement;
    bool older =
        known &&
        (placement.fencing < known->fencing ||
         (placement.fencing == known->fencing && placement.reported_at < known->reported_at));
    if (older)
    {
        return;
    }
    apply_owner(server, {.host = placement.owner,
                         .incarnation = placement.owner_incarnation,
                         .fencing = placement.fencing,
                         .may_order_at = placement.reported_at,
                         .reported_at = placement.reported_at});
    known = std::move(placement);
}

void backend_table::apply_owner(const server_id& server, const engine_owner& owner)
{
    auto it = servers_.find(server);
    if (it == servers_.end())
    {
        return;
    }
    auto& known = it->second.owner;
    // The same owner may have said since that it gives no orders.
    bool older =
        known && (owner.fencing < known->fencing ||
                  (owner.fencing == known->fencing && owner.reported_at < known->reported_at));
    if (!older)
    {
        known = owner;
    }
}

void backend_table::remove_owner(const server_id& server)
{
    auto it = servers_.find(server);
    if (it != servers_.end())
    {
        it->second.owner.reset();
    }
}

void backend_table::record_heard(const host_id& host, incarnation_id incarnation, instant now)
{
    auto [it, is_new] =
        heard_hosts_.try_emplace(host, heard_host{.incarnation = incarnation, .at = now});
    // A forwarded message can arrive after a later one that came directly.
    if (now >= it->second.at)
    {
        it->second = {.incarnation = incarnation, .at = now};
    }
}

milliseconds backend_table::owner_wait(const record& it, instant now) const
{
    if (!it.owner)
    {
        return options_.takeover_time;
    }
    const auto& owner = *it.owner;
    instant heard_at = owner.reported_at;
    bool same_incarnation = true;
    if (auto heard = heard_hosts_.find(owner.host); heard != heard_hosts_.end())
    {
        heard_at = std::max(heard_at, heard->second.at);
        same_incarnation = heard->second.incarnation == owner.incarnation;
    }
    bool alive = owner.host == options_.own_host ||
                 (same_incarnation && now - heard_at < options_.owner_ttl);
    if (!alive)
    {
        return options_.takeover_time;
    }
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(owner.may_order_at - now));
}

milliseconds backend_table::order_wait(const record& it, instant now) const
{
    auto permit_wait = limits_.permit_wait(it.entry.id, now);
    bool owned_here = it.owner && it.owner->host == options_.own_host;
    auto own_pause = owned_here ? pause_left(it, now) : nanoseconds(0);
    return std::max(owner_wait(it, now), std::chrono::ceil<milliseconds>(own_pause)) +
           std::chrono::ceil<milliseconds>(permit_wait);
}

void backend_table::apply_peer_load(const host_id& host, const server_id& server, int running,
                                    instant at)
{
    auto it = servers_.find(server);
    if (it == servers_.end())
    {
        return;
    }
    auto& use = it->second.peer_loads[host];
    if (at >= use.at)
    {
        it->second.peer_running += running - use.running;
        use = {.running = running, .at = at};
    }
}

bool backend_table::begin_complete_report(const host_id& host, instant at)
{
    instant& newest = complete_reports_[host];
    if (at < newest)
    {
        return false;
    }
    newest = at;
    for (auto& [id, it] : servers_)
    {
        auto use = it.peer_loads.find(host);
        if (use != it.peer_loads.end() && use->second.at <= at)
        {
            it.peer_running -= use->second.running;
            it.peer_loads.erase(use);
        }
    }
    return true;
}

void backend_table::record_sent(const server_id& server, const model_target& target)
{
    auto it = servers_.find(server);
    if (it != servers_.end())
    {
        ++it->second.running;
        ++it->second.running_by_target[target];
        ++it->second.requests_since_report[target];
    }
}

void backend_table::record_ended(const server_id& server, const model_target& target,
                                 backend_outcome outcome, instant now)
{
    auto found = servers_.find(server);
    if (found == servers_.end())
    {
        return;
    }
    record& it = found->second;
    it.running = std::max(0, it.running - 1);
    auto running = it.running_by_target.find(target);
    if (running != it.running_by_target.end() && --running->second <= 0)
    {
        it.running_by_target.erase(running);
    }
    if (outcome == backend_outcome::failed)
    {
        ++it.failures;
        it.failure_ratio += outcome_weight * (1 - it.failure_ratio);
        if (it.failures >= 2)
        {
            auto backoff =
                options_.initial_backoff * (1 << std::min(it.failures - 2, max_doublings));
            it.avoid_until = now + std::min<milliseconds>(backoff, options_.max_backoff);
        }
    }
    else if (outcome == backend_outcome::responded)
    {
        it.failures = 0;
        it.failure_ratio -= outcome_weight * it.failure_ratio;
        it.denied.erase(target);
    }
    else if (outcome == backend_outcome::not_held)
    {
        auto& denial = it.denied[target];
        denial.backoff = std::clamp(denial.backoff * 2, initial_denial, max_denial);
        denial.until = now + denial.backoff;
    }
    if (it.removed && it.running == 0)
    {
        servers_.erase(found);
    }
}

void backend_table::record_received(const server_id& server, instant now)
{
    auto it = servers_.find(server);
    if (it != servers_.end())
    {
        it->second.received_at = now;
    }
}

void backend_table::reset_request_counts(const server_id& server)
{
    auto found = servers_.find(server);
    if (found == servers_.end())
    {
        return;
    }
    record& it = found->second;
    std::erase_if(it.requests_since_report, [&](const auto& target)
                  { return target.second == 0 && !it.running_by_target.contains(target.first); });
    for (auto& [target, requests] : it.requests_since_report)
    {
        requests = 0;
    }
}

std::size_t backend_table::count_targets() const
{
    std::size_t sum = 0;
    auto add = [&](const auto& targets)
    {
        sum += static_cast<std::size_t>(std::count_if(targets.begin(), targets.end(),
                                                      [](const auto& it)
                                                      { return !it.first.model.empty(); }));
    };
    for (const auto& [id, it] : servers_)
    {
        add(it.running_by_target);
        add(it.requests_since_report);
        add(it.denied);
    }
    return sum;
}

const backend_table::record* backend_table::find(const server_id& server) const
{
    auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
}

bool backend_table::accepts(const server_id& server, std::int64_t start_time_ms, instant now) const
{
    const auto* known = find(server);
    return known && in_use(*known) && known->entry.start_time_ms == start_time_ms &&
           pause_left(*known, now).count() == 0;
}

void backend_table::expire_peer_loads(instant now)
{
    for (auto& [id, it] : servers_)
    {
        for (auto use = it.peer_loads.begin(); use != it.peer_loads.end();)
        {
            bool old = now - use->second.at >= options_.peer_load_ttl;
            it.peer_running -= old ? use->second.running : 0;
            use = old ? it.peer_loads.erase(use) : std::next(use);
        }
    }
}

bool backend_table::placement_counts(const record& it, instant now) const
{
    return it.placement && it.placement->start_time_ms == it.entry.start_time_ms &&
           now - it.placement->reported_at < options_.placement_ttl;
}

std::optional<nanoseconds>
backend_table::time_until_ready(const record& it, const model_target& target, instant now) const
{
    constexpr nanoseconds no_wait(0);
    auto denied = it.denied.find(target);
    if (denied != it.denied.end() && now < denied->second.until)
    {
        return std::nullopt;
    }
    if (!placement_counts(it, now))
    {
        auto model = it.entry.models.find(target.model);
        bool held = model != it.entry.models.end() &&
                    (target.adapter.empty() || model->second.contains(target.adapter));
        return held ? std::optional(no_wait) : std::nullopt;
    }
    auto model = it.placement->models.find(target.model);
    if (model == it.placement->models.end() || model->second.unloading)
    {
        return std::nullopt;
    }
    nanoseconds wait = std::max(no_wait, model->second.ready_at - now);
    if (!target.adapter.empty())
    {
        auto adapter = model->second.adapters.find(target.adapter);
        if (adapter == model->second.adapters.end())
        {
            return std::nullopt;
        }
        wait = std::max(wait, adapter->second - now);
    }
    return wait;
}

int backend_table::count_other_replicas(const server_id& server, const model_id& model,
                                        instant now) const
{
    return static_cast<int>(
        std::count_if(servers_.begin(), servers_.end(),
                      [&](const auto& it)
                      {
                          return it.first != server && in_use(it.second) &&
                                 pause_left(it.second, now).count() == 0 &&
                                 it.second.avoid_until <= now && !limits_.in_force(it.first) &&
                                 holds(it.second, {.model = model, .adapter = {}}, now);
                      }));
}

int backend_table::active_store_loads(instant now) const
{
    int sum = 0;
    for (const auto& [id, it] : servers_)
    {
        if (it.removed || !placement_counts(it, now))
        {
            continue;
        }
        sum += static_cast<int>(
            std::count_if(it.placement->models.begin(), it.placement->models.end(),
                          [&](const auto& model)
                          { return model.second.from_store && model.second.ready_at > now; }));
    }
    return sum;
}

bool backend_table::available_elsewhere(const server_id& server, const model_target& target,
                                        instant now) const
{
    return std::any_of(
        servers_.begin(), servers_.end(),
        [&](const auto& other)
        {
            const record& it = other.second;
            if (other.first == server || !in_use(it) || pause_left(it, now).count() > 0 ||
                it.avoid_until > now || !placement_counts(it, now) || limits_.in_force(other.first))
            {
                return false;
            }
            auto held = it.placement->models.find(target.model);
            if (held == it.placement->models.end() || held->second.unloading)
            {
                return false;
            }
            bool adapter_loadable = target.adapter.empty() ||
                                    held->second.adapters.contains(target.adapter) ||
                                    owner_wait(it, now).count() == 0;
            return adapter_loadable &&
                   (held->second.ready_at > now || (it.placement->adapter_room && has_room(it)));
        });
}

bool backend_table::usable(const record& it, const server_criteria& need) const
{
    return in_use(it) && it.entry.service == need.service && !need.tried.contains(it.entry.id);
}

double backend_table::cost(const record& it, instant now) const
{
    double speed = pace_.speed(it.entry.id, now);
    double sum = static_cast<double>(load(it)) / (std::max(1, it.entry.slots) * speed);
    sum += slow_cost * (1 / speed - 1);
    sum += failing_cost * it.failure_ratio;
    sum += it.entry.domain == options_.own_domain ? 0 : cross_domain_cost;
    sum += it.avoid_until > now ? backoff_cost : 0;
    sum += it.entry.warmup_left.count() > 0 ? cross_domain_cost : 0;
    bool limited = limits_.is_fresh(it.entry.id, now) || limits_.cold().contains(it.entry.id);
    sum += limited ? limited_cost : 0;
    return sum;
}

server_choice backend_table::choose(const server_criteria& need, const engine_spec* engine,
                                    instant now) const
{
    auto choice = choose_unpaused(need, engine, now);
    auto paused = notices_.any_pause() ? choose_paused(need, engine, now) : std::nullopt;
    if (!paused)
    {
        return choice;
    }
    using action_kind = server_choice::action_kind;
    bool may_wait = choice.action == action_kind::load || choice.action == action_kind::permit;
    bool paused_is_sooner = choice.action == action_kind::none ||
                            (may_wait && paused->expected_wait < choice.expected_wait);
    return paused_is_sooner ? *paused : choice;
}

std::optional<server_choice> backend_table::choose_paused(const server_criteria& need,
                                                          const engine_spec* engine,
                                                          instant now) const
{
    const bool wants_model = engine != nullptr && !need.target.model.empty();
    std::optional<server_choice> best;
    for (const auto& [id, it] : servers_)
    {
        auto left = pause_left(it, now);
        if (left.count() == 0 || !usable(it, need))
        {
            continue;
        }
        auto ready = wants_model ? time_until_ready(it, need.target, now) : nanoseconds(0);
        if (!ready && holds(it, {.model = need.target.model, .adapter = {}}, now))
        {
            ready = order_wait(it, now) + typical_adapter_load;
        }
        if (!ready)
        {
            continue;
        }
        auto wait = std::chrono::ceil<milliseconds>(std::max(left, *ready));
        if (!best || wait < best->expected_wait)
        {
            best = {
                .action = server_choice::action_kind::pause, .server = id, .expected_wait = wait};
        }
    }
    return best;
}

backend_table::candidate backend_table::choose_held(const std::vector<candidate>& held,
                                                    const candidate& cheapest,
                                                    const server_criteria& need, instant now) const
{
    if (need.unseen <= 0 || cheapest.cost >= backoff_cost)
    {
        return cheapest;
    }
    bool limited = limits_.in_force(cheapest.it->entry.id);
    std::vector<spread_candidate> options;
    std::vector<const candidate*> servers;
    for (const auto& it : held)
    {
        if (it.cost < backoff_cost && limits_.in_force(it.it->entry.id) == limited)
        {
            double slots = std::max(1, it.it->entry.slots);
            options.push_back(
                {.cost = it.cost, .capacity = slots * pace_.speed(it.it->entry.id, now)});
            servers.push_back(&it);
        }
    }
    return *servers[choose_spread(options, need.unseen, need.draw)];
}

server_choice backend_table::choose_unpaused(const server_criteria& need, const engine_spec* engine,
                                             instant now) const
{
    constexpr double never = std::numeric_limits<double>::max();
    candidate held{.it = nullptr, .cost = never};
    candidate loading{.it = nullptr, .cost = never};
    candidate without_adapter{.it = nullptr, .cost = never};
    candidate limited{.it = nullptr, .cost = never};
    bool unlimited_held = false;
    std::vector<candidate> all_held;
    nanoseconds shortest_wait = nanoseconds::max();
    bool any_at_capacity = false;
    const bool wants_model = engine != nullptr && !need.target.model.empty();
    for (const auto& [id, it] : servers_)
    {
        if (!usable(it, need) || pause_left(it, now).count() > 0)
        {
            continue;
        }
        auto wait = wants_model ? time_until_ready(it, need.target, now) : nanoseconds(0);
        bool model_held = wait || holds(it, {.model = need.target.model, .adapter = {}}, now);
        if (!model_held)
        {
            continue;
        }
        if (load(it) >= it.entry.slots)
        {
            any_at_capacity = true;
            continue;
        }
        if (!wait && placement_counts(it, now) && !it.placement->adapter_room)
        {
            // All its adapters are in use; another server has to load the model as well.
            any_at_capacity = true;
            continue;
        }
        auto permit_wait = id == need.permitted ? nanoseconds(0) : limits_.permit_wait(id, now);
        if (wait == nanoseconds(0) && permit_wait.count() > 0)
        {
            auto its_wait = static_cast<double>(permit_wait.count());
            if (its_wait < limited.cost)
            {
                limited = {.it = &it, .cost = its_wait};
            }
            continue;
        }
        double its_cost = cost(it, now);
        if (!wait && order_wait(it, now).count() > 0)
        {
            its_cost += unordered_cost;
        }
        unlimited_held = unlimited_held || (wait == nanoseconds(0) && !limits_.in_force(id) &&
                                            its_cost < backoff_cost);
        if (wait == nanoseconds(0))
        {
            all_held.push_back({.it = &it, .cost = its_cost});
        }
        candidate& best_of_kind = !wait ? without_adapter : wait->count() == 0 ? held : loading;
        if (its_cost < best_of_kind.cost)
        {
            best_of_kind = {.it = &it, .cost = its_cost};
            shortest_wait = wait && wait->count() > 0 ? *wait : shortest_wait;
        }
    }
    bool other_is_better =
        held.cost >= backoff_cost && std::min(loading.cost, without_adapter.cost) < backoff_cost;
    if (held.it && !other_is_better)
    {
        held = choose_held(all_held, held, need, now);
        const auto& id = held.it->entry.id;
        bool needs_permit = limits_.in_force(id) && id != need.permitted;
        return {.action = needs_permit ? server_choice::action_kind::permit
                                       : server_choice::action_kind::send,
                .server = id,
                .has_alternative = unlimited_held};
    }
    std::optional<server_choice> wait_for_permit;
    if (limited.it)
    {
        wait_for_permit = {.action = server_choice::action_kind::permit,
                           .server = limited.it->entry.id,
                           .expected_wait = std::chrono::ceil<milliseconds>(
                               limits_.permit_wait(limited.it->entry.id, now))};
    }
    if (loading.it && (!wait_for_permit || shortest_wait <= wait_for_permit->expected_wait))
    {
        return {.action = server_choice::action_kind::load,
                .server = loading.it->entry.id,
                .expected_wait = std::chrono::ceil<milliseconds>(shortest_wait),
                .loading = true};
    }
    std::optional<server_choice> load_adapter;
    if (without_adapter.it)
    {
        load_adapter = {.action = server_choice::action_kind::load,
                        .server = without_adapter.it->entry.id,
                        .expected_wait =
                            order_wait(*without_adapter.it, now) + typical_adapter_load};
        if (load_adapter->expected_wait == typical_adapter_load)
        {
            return *load_adapter;
        }
    }
    auto load_model = wants_model ? choose_load(need, *engine, false, now) : std::nullopt;
    if (wait_for_permit &&
        (!load_adapter || wait_for_permit->expected_wait < load_adapter->expected_wait) &&
        (!load_model || wait_for_permit->expected_wait < load_model->expected_wait))
    {
        return *wait_for_permit;
    }
    if (load_adapter && (!load_model || load_adapter->expected_wait <= load_model->expected_wait))
    {
        return *load_adapter;
    }
    if (load_model)
    {
        return *load_model;
    }
    return {.action = any_at_capacity ? server_choice::action_kind::full
                                      : server_choice::action_kind::none};
}

std::optional<server_choice> backend_table::choose_extra_replica(const server_criteria& need,
                                                                 const engine_spec& engine,
                                                                 instant now) const
{
    if (need.target.model.empty() ||
        available_elsewhere(server_id(), {.model = need.target.model, .adapter = {}}, now))
    {
        return std::nullopt;
    }
    // A load from the store takes longer than the load peak that calls for it.
    auto choice = choose_load(need, engine, true, now);
    return choice && !choice->loading ? choice : std::nullopt;
}

std::optional<server_choice> backend_table::choose_load(const server_criteria& need,
                                                        const engine_spec& engine, bool local_only,
                                                        instant now) const
{
    auto model = engine.models.find(need.target.model);
    if (model == engine.models.end())
    {
        return std::nullopt;
    }
    const record* best = nullptr;
    double best_ms = std::numeric_limits<double>::max();
    double best_wait = 0;
    bool store_is_busy = active_store_loads(now) >= options_.max_store_loads;
    for (const auto& [id, it] : servers_)
    {
        bool held = holds(it, {.model = need.target.model, .adapter = {}}, now);
        if (!usable(it, need) || it.avoid_until > now || held)
        {
            continue;
        }
        milliseconds load_time = model->second.load_from_store;
        if (it.entry.in_memory.contains(model->first))
        {
            load_time = model->second.load_from_memory;
        }
        else if (it.entry.on_disk.contains(model->first))
        {
            load_time = model->second.load_from_disk;
        }
        else if (local_only)
        {
            continue;
        }
        else if (store_is_busy)
        {
            // The load waits for at least one of those in flight.
            load_time *= 2;
        }
        milliseconds ready_to_load = order_wait(it, now);
        if (placement_counts(it, now))
        {
            auto placed = it.placement->models.find(model->first);
            bool loading = placed != it.placement->models.end() && !placed->second.unloading;
            if (loading && (placed->second.ready_at > now || ready_to_load.count() == 0))
            {
                // It is loading there already, or was loaded and is not yet known to serve.
                auto left = std::chrono::ceil<milliseconds>(
                    std::max(placed->second.ready_at - now, pause_left(it, now)));
                return server_choice{.action = server_choice::action_kind::load,
                                     .server = id,
                                     .expected_wait = std::max(left, typical_adapter_load),
                                     .loading = true};
            }
            ready_to_load = std::max(
                ready_to_load, std::chrono::ceil<milliseconds>(it.placement->next_load_at - now));
        }
        // It can be ordered by another host while it wants no requests from this one.
        auto own_wait = std::chrono::ceil<milliseconds>(pause_left(it, now));
        auto ms = static_cast<double>(std::max(load_time + ready_to_load, own_wait).count());
        double wait = ms;
        ms += limits_.in_force(id) ? limited_load_ms : 0;
        ms += 300.0 * load(it) / std::max(1, it.entry.slots);
        ms += slow_load_ms * (1 / pace_.speed(id, now) - 1);
        auto weight = rendezvous_weight(need.target.model.str(), id.str());
        ms += tie_break_ms * static_cast<double>(weight) /
              static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        if (ms < best_ms)
        {
            best = &it;
            best_ms = ms;
            best_wait = wait;
        }
    }
    if (!best)
    {
        return std::nullopt;
    }
    return server_choice{.action = server_choice::action_kind::load,
                         .server = best->entry.id,
                         .expected_wait = milliseconds(static_cast<std::int64_t>(best_wait))};
}

} // namespace banyanshunt
