#pragma once

/// \file
/// Defines the planner of placement: from what is decided, held and needed, to the orders that go
/// out now. It remembers what it has seen between plans and touches no thread and no socket.
///
/// What the promises rest on is here and not in the policy: a replica is loaded only under an owned
/// slot and into free memory, with unsettled orders counted; and only a replica that runs nothing,
/// that nobody waits for and that has got no requests for a while is unloaded.

#include "coordination/placement/idle_tracker.hpp"
#include "coordination/placement/load_lanes.hpp"
#include "coordination/placement/load_tracker.hpp"
#include "coordination/placement/server_plan.hpp"
#include "coordination/placement/version_rollout.hpp"

namespace banyanshunt
{

struct planner_options
{
    load_times_options times;
    /// How long a replica gets no requests before it is unloaded; longer than a host may take to
    /// hear of it.
    milliseconds retire_grace{1000};
    /// How long a demand lasts before the next slot loads for it as well.
    milliseconds spread_after{2000};
    /// A replica is not moved out of the way before it was idle this long.
    milliseconds min_idle{500};
};

/// Used by one thread.
template <placement_policy Policy, load_budget Budget>
class placement_planner
{
public:
    placement_planner(Policy policy, Budget budget, planner_options options = {})
        : policy_(std::move(policy)), budget_(std::move(budget)), options_(options),
          loads_(options.times)
    {
    }

    Budget& budget() { return budget_; }

    placement_plan plan(const placement_view& view)
    {
        loads_.observe(view);
        idle_.observe(view);
        versions_.observe(*view.state, view.now);
        placement_plan plan;
        retire_unwanted(view, plan);
        plan_loads(view, plan);
        idle_.retire(plan.retiring, view.now);
        plan_unloads(view, plan);
        return plan;
    }

private:
    std::optional<idle_replica> idle(const leased_server& server, const held_replica& replica,
                                     instant now) const
    {
        auto it = idle_.find(server, replica, now);
        if (it)
        {
            it->reload =
                loads_.expected(cached_tier(server.report, replica.model, replica.version));
        }
        return it;
    }

    bool is_unwanted(const placement_view& view, const leased_server& server,
                     const held_replica& replica)
    {
        const model_object* object = find_object(view.state->models, replica.model);
        auto slot = server.slots.find(replica.model);
        if (!object || slot == server.slots.end() || server.leaving)
        {
            return true;
        }
        nanoseconds turn = 2 * (loads_.expected(checkpoint_tier::remote) + options_.retire_grace);
        if (replica.version != object->version &&
            versions_.may_replace(replica.model, slot->second, turn, view.now))
        {
            versions_.record_replacement({.server = server.server, .model = replica.model});
            return true;
        }
        auto unused = idle(server, replica, view.now);
        return unused && unused->idle >= policy_.keep_alive(*unused);
    }

    void retire_unwanted(const placement_view& view, placement_plan& plan)
    {
        for (const auto& server : view.servers)
        {
            for (const auto& replica : server.report.replicas)
            {
                if (replica.phase == replica_phase::ready && is_unwanted(view, server, replica))
                {
                    plan.retiring.insert({.server = server.server, .model = replica.model});
                }
            }
        }
    }

    // A demand for each model that has to be loaded here.
    std::vector<model_demand> open_demands(const placement_view& view)
    {
        auto demands = ages_.merge(view.demands, view.now);
        constexpr milliseconds patience(600'000);
        for (const auto& place : versions_.pending_reloads(view))
        {
            bool known =
                std::any_of(demands.begin(), demands.end(),
                            [&](const model_demand& it) { return it.total.model == place.model; });
            if (!known)
            {
                replica_demand need{.model = place.model,
                                    .adapter = {},
                                    .waiting = 1,
                                    .deadline = view.now + patience,
                                    .workspace = {}};
                demands.push_back({.total = need, .since = instant(), .adapters = {}});
            }
        }
        return demands;
    }

    void plan_loads(const placement_view& view, placement_plan& plan)
    {
        auto draft = make_server_plans(view);
        std::vector<model_demand> unmet;
        for (auto& demand : open_demands(view))
        {
            auto progress = progress_of(draft, demand.total.model, plan.retiring);
            if (!progress.ready.empty())
            {
                plan_adapters(view, demand, progress, plan);
                continue;
            }
            if (progress.loading)
            {
                expect_load(view, demand.total.model, *progress.loading_on, plan);
                continue;
            }
            unmet.push_back(std::move(demand));
        }
        plan_models(view, unmet, draft, plan);
    }

    void expect_load(const placement_view& view, const model_id& model, const server_id& server,
                     placement_plan& plan)
    {
        auto ready = loads_.ready_time({.server = server, .model = model});
        nanoseconds left = ready ? std::max<nanoseconds>(*ready - view.now, nanoseconds(0))
                                 : loads_.expected(checkpoint_tier::remote);
        plan.expected.push_back({.model = model, .ready_in = left});
    }

    void plan_adapters(const placement_view& view, const model_demand& demand,
                       const model_progress& progress, placement_plan& plan)
    {
        for (const auto& adapter : demand.adapters)
        {
            const adapter_object* object = find_object(view.state->adapters, adapter);
            if (object && object->base == demand.total.model)
            {
                plan_adapter(view, adapter, *object, progress, plan);
            }
        }
    }

    void plan_adapter(const placement_view& view, const adapter_id& id,
                      const adapter_object& object, const model_progress& progress,
                      placement_plan& plan)
    {
        server_plan* chosen = nullptr;
        for (server_plan* it : progress.ready)
        {
            engine_order shown{.kind = order_kind::load_adapter,
                               .model = object.base,
                               .version = {},
                               .adapter = id,
                               .memory = {},
                               .fencing = {}};
            if (shows_effect(it->server->report, shown) ||
                in_flight(*it->server, {.model = object.base, .adapter = id}))
            {
                return;
            }
            if (it->free >= object.memory && (!chosen || it->free > chosen->free))
            {
                chosen = it;
            }
        }
        if (!chosen)
        {
            make_room(view, *progress.ready.front(), object.memory, plan);
            return;
        }
        if (adapters_planned(plan) + adapters_in_transit(view) >= budget_.share().max_adapters)
        {
            return;
        }
        const held_replica* replica = find_replica(chosen->server->report, object.base);
        auto order = make_order(*chosen->server, order_kind::load_adapter, object.base,
                                replica->version, object.memory);
        order.order.adapter = id;
        chosen->free -= object.memory;
        plan.orders.push_back(std::move(order));
    }

    static int adapters_planned(const placement_plan& plan)
    {
        return static_cast<int>(std::count_if(
            plan.orders.begin(), plan.orders.end(),
            [](const planned_order& it) { return it.order.kind == order_kind::load_adapter; }));
    }

    // One load that is wanted, with the servers that may do it.
    struct wanted_load
    {
        load_candidate choice;
        const model_object* object;
        std::vector<server_plan*> servers;
    };

    std::vector<wanted_load> wanted_loads(const placement_view& view,
                                          const std::vector<model_demand>& unmet,
                                          std::vector<server_plan>& draft)
    {
        std::vector<wanted_load> wanted;
        for (const auto& demand : unmet)
        {
            const model_object* object = find_object(view.state->models, demand.total.model);
            if (!object)
            {
                continue;
            }
            auto servers = servers_for_load(draft, demand.total.model, *object,
                                            view.now - demand.since, options_.spread_after);
            if (servers.empty())
            {
                continue;
            }
            auto tier =
                cached_tier(servers.front()->server->report, demand.total.model, object->version);
            load_candidate choice{.demand = demand.total,
                                  .since = demand.since,
                                  .tier = tier,
                                  .duration = loads_.expected(tier),
                                  .workspace_loads =
                                      workspaces_.recent(demand.total.workspace, view.now)};
            wanted.push_back({.choice = choice, .object = object, .servers = std::move(servers)});
        }
        std::sort(wanted.begin(), wanted.end(),
                  [&](const wanted_load& a, const wanted_load& b)
                  { return policy_.load_before(a.choice, b.choice, view.now); });
        return wanted;
    }

    void plan_models(const placement_view& view, const std::vector<model_demand>& unmet,
                     std::vector<server_plan>& draft, placement_plan& plan)
    {
        load_lanes lanes(budget_.share(), loads_.remote_ready_times(),
                         budget_.next_start(view.now));
        bool held_back = false;
        for (const auto& wanted : wanted_loads(view, unmet, draft))
        {
            const load_candidate& choice = wanted.choice;
            bool remote = choice.tier == checkpoint_tier::remote;
            instant begin = remote ? lanes.next(view.now) : view.now;
            instant ready = begin + choice.duration;
            bool helps = policy_.is_useful(choice, ready);
            plan.expected.push_back(
                {.model = choice.demand.model, .ready_in = ready - view.now, .useful = helps});
            if (!helps)
            {
                continue;
            }
            if (remote && begin - view.now >= choice.duration && choice.duration > nanoseconds(0))
            {
                plan.overcommitted.insert(choice.demand.model);
            }
            if (remote)
            {
                lanes.reserve(begin, choice.duration);
            }
            bool begun = !held_back && begin <= view.now + options_.retire_grace &&
                         begin_load(view, wanted, begin <= view.now, plan);
            held_back = held_back || (Policy::head_of_line_blocking && !begun);
        }
        plan.lane_free = lanes.next(view.now) <= view.now;
    }

    // Orders the load on the first server with room; else makes room on one. `now` tells whether
    // the weight store allows it at once; room is made a little earlier than that.
    bool begin_load(const placement_view& view, const wanted_load& wanted, bool now,
                    placement_plan& plan)
    {
        for (server_plan* it : wanted.servers)
        {
            if (it->free >= wanted.object->memory)
            {
                it->free -= wanted.object->memory;
                if (now)
                {
                    order_load(view, wanted, *it->server, plan);
                }
                return now;
            }
        }
        for (server_plan* it : wanted.servers)
        {
            if (make_room(view, *it, wanted.object->memory, plan))
            {
                it->free -= wanted.object->memory;
                break;
            }
        }
        return false;
    }

    void order_load(const placement_view& view, const wanted_load& wanted,
                    const leased_server& server, placement_plan& plan)
    {
        const replica_demand& need = wanted.choice.demand;
        auto tier = cached_tier(server.report, need.model, wanted.object->version);
        if (tier == checkpoint_tier::remote)
        {
            budget_.record_start(view.now);
        }
        loads_.record_start({.server = server.server, .model = need.model}, tier, view.now);
        workspaces_.record_start(need.workspace, view.now);
        plan.orders.push_back(make_order(server, order_kind::load_model, need.model,
                                         wanted.object->version, wanted.object->memory));
    }

    // Retires idle replicas until `pending_memory` will be free; returns false, and retires none,
    // when that is not to be had.
    bool make_room(const placement_view& view, server_plan& draft, mebibytes memory,
                   placement_plan& plan)
    {
        std::vector<idle_replica> idle_ones;
        mebibytes free = draft.free;
        for (const auto& replica : draft.server->report.replicas)
        {
            replica_location place{.server = draft.server->server, .model = replica.model};
            if (plan.retiring.contains(place))
            {
                free += replica.memory;
                continue;
            }
            auto unused = idle(*draft.server, replica, view.now);
            if (unused && unused->idle >= options_.min_idle)
            {
                idle_ones.push_back(*unused);
            }
        }
        std::sort(idle_ones.begin(), idle_ones.end(),
                  [&](const idle_replica& x, const idle_replica& y)
                  { return prefer_eviction(x, y); });
        std::vector<replica_location> victims;
        for (const auto& it : idle_ones)
        {
            if (free >= memory)
            {
                break;
            }
            free += it.memory;
            victims.push_back({.server = it.server, .model = it.model});
        }
        if (free < memory)
        {
            return false;
        }
        plan.retiring.insert(victims.begin(), victims.end());
        return true;
    }

    // One that is already on its way out goes first, so that plans do not change their mind.
    bool prefer_eviction(const idle_replica& x, const idle_replica& y) const
    {
        bool x_goes = idle_.retiring({.server = x.server, .model = x.model});
        bool y_goes = idle_.retiring({.server = y.server, .model = y.model});
        return x_goes != y_goes ? x_goes : policy_.evict_before(x, y);
    }

    void plan_unloads(const placement_view& view, placement_plan& plan)
    {
        for (const auto& server : view.servers)
        {
            for (const auto& replica : server.report.replicas)
            {
                replica_location place{.server = server.server, .model = replica.model};
                bool quiet = replica.running == 0 && replica.adapters_loading.empty() &&
                             std::none_of(server.unsettled.begin(), server.unsettled.end(),
                                          [&](const engine_order& order)
                                          { return order.model == replica.model; });
                if (quiet && idle_.retired(place, options_.retire_grace, view.now))
                {
                    plan.orders.push_back(make_order(server, order_kind::unload_model,
                                                     replica.model, replica.version,
                                                     replica.memory));
                }
            }
        }
    }

    Policy policy_;
    Budget budget_;
    planner_options options_;
    load_tracker loads_;
    idle_tracker idle_;
    version_rollout versions_;
    demand_tracker ages_;
    workspace_loads workspaces_;
};

} // namespace banyanshunt
