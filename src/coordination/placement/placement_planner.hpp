#pragma once

/// \file
/// The placement planner: computes the orders to send now from the decided state, the servers'
/// reports and the demands. It keeps its observations between plans and uses no threads or sockets.
///
/// The planner and not the policy upholds the placement guarantees: a replica is loaded only under
/// an owned slot and into free memory, with unsettled orders counted as used; and a replica is
/// unloaded only when it runs no request, no request waits for it, and it has got no requests for
/// the retire grace period.

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
    /// How long a replica gets no requests before it is unloaded; must be longer than it may take a
    /// host to learn that the replica is retiring.
    milliseconds retire_grace{1000};
    /// How long a demand lasts before the next slot also loads the model.
    milliseconds spread_after{2000};
    /// How long a replica must have been idle before it may be evicted.
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
        nanoseconds slot_interval =
            2 * (loads_.expected(checkpoint_tier::remote) + options_.retire_grace);
        if (replica.version != object->version &&
            versions_.may_replace(replica.model, slot->second, slot_interval, view.now))
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

    // The demands of waiting requests and of replicas to be reloaded with a new version.
    std::vector<model_demand> pending_demands(const placement_view& view)
    {
        auto demands = demands_.merge(view.demands, view.now);
        // A reload has no waiting request, so it gets a fixed deadline.
        constexpr milliseconds reload_deadline(600'000);
        for (const auto& location : versions_.pending_reloads(view))
        {
            bool known = std::any_of(demands.begin(), demands.end(),
                                     [&](const model_demand& it)
                                     { return it.total.model == location.model; });
            if (!known)
            {
                replica_demand reload{.model = location.model,
                                      .adapter = {},
                                      .waiting = 1,
                                      .deadline = view.now + reload_deadline,
                                      .workspace = {}};
                demands.push_back({.total = reload, .since = instant(), .adapters = {}});
            }
        }
        return demands;
    }

    void plan_loads(const placement_view& view, placement_plan& plan)
    {
        auto plans = make_server_plans(view);
        std::vector<model_demand> unmet;
        for (auto& demand : pending_demands(view))
        {
            auto progress = progress_of(plans, demand.total.model, plan.retiring);
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
        plan_models(view, unmet, plans, plan);
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
            engine_order load{.kind = order_kind::load_adapter,
                              .model = object.base,
                              .version = {},
                              .adapter = id,
                              .memory = {},
                              .fencing = {}};
            if (shows_effect(it->server->report, load) ||
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
            evict_idle_replicas(view, *progress.ready.front(), object.memory, plan);
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

    // A load that is wanted, with the servers that may run it.
    struct wanted_load
    {
        load_candidate candidate;
        const model_object* object;
        std::vector<server_plan*> servers;
    };

    std::vector<wanted_load> wanted_loads(const placement_view& view,
                                          const std::vector<model_demand>& unmet,
                                          std::vector<server_plan>& plans)
    {
        std::vector<wanted_load> wanted;
        for (const auto& demand : unmet)
        {
            const model_object* object = find_object(view.state->models, demand.total.model);
            if (!object)
            {
                continue;
            }
            auto servers = servers_for_load(plans, demand.total.model, *object,
                                            view.now - demand.since, options_.spread_after);
            if (servers.empty())
            {
                continue;
            }
            auto tier =
                cached_tier(servers.front()->server->report, demand.total.model, object->version);
            load_candidate candidate{.demand = demand.total,
                                     .since = demand.since,
                                     .tier = tier,
                                     .duration = loads_.expected(tier),
                                     .workspace_loads =
                                         workspaces_.recent(demand.total.workspace, view.now)};
            wanted.push_back(
                {.candidate = candidate, .object = object, .servers = std::move(servers)});
        }
        std::sort(wanted.begin(), wanted.end(),
                  [&](const wanted_load& a, const wanted_load& b)
                  { return policy_.load_before(a.candidate, b.candidate, view.now); });
        return wanted;
    }

    void plan_models(const placement_view& view, const std::vector<model_demand>& unmet,
                     std::vector<server_plan>& plans, placement_plan& plan)
    {
        load_lanes lanes(budget_.share(), loads_.remote_ready_times(),
                         budget_.next_start(view.now));
        bool blocked = false;
        for (const auto& wanted : wanted_loads(view, unmet, plans))
        {
            const load_candidate& candidate = wanted.candidate;
            bool remote = candidate.tier == checkpoint_tier::remote;
            instant start = remote ? lanes.next(view.now) : view.now;
            instant ready = start + candidate.duration;
            bool useful = policy_.is_useful(candidate, ready);
            plan.expected.push_back(
                {.model = candidate.demand.model, .ready_in = ready - view.now, .useful = useful});
            if (!useful)
            {
                continue;
            }
            if (remote && start - view.now >= candidate.duration &&
                candidate.duration > nanoseconds(0))
            {
                plan.overcommitted.insert(candidate.demand.model);
            }
            if (remote)
            {
                lanes.reserve(start, candidate.duration);
            }
            bool started = !blocked && start <= view.now + options_.retire_grace &&
                           start_load(view, wanted, start <= view.now, plan);
            blocked = blocked || (Policy::head_of_line_blocking && !started);
        }
        plan.lane_free = lanes.next(view.now) <= view.now;
    }

    // Orders the load on the first server with enough free memory, or else evicts idle replicas on
    // one. `now` is whether the weight store allows the load at once; eviction starts up to the
    // retire grace period earlier. Returns whether the load was ordered.
    bool start_load(const placement_view& view, const wanted_load& wanted, bool now,
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
            if (evict_idle_replicas(view, *it, wanted.object->memory, plan))
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
        const replica_demand& demand = wanted.candidate.demand;
        auto tier = cached_tier(server.report, demand.model, wanted.object->version);
        if (tier == checkpoint_tier::remote)
        {
            budget_.record_start(view.now);
        }
        loads_.record_start({.server = server.server, .model = demand.model}, tier, view.now);
        workspaces_.record_start(demand.workspace, view.now);
        plan.orders.push_back(make_order(server, order_kind::load_model, demand.model,
                                         wanted.object->version, wanted.object->memory));
    }

    // Retires idle replicas until `memory` will be free; returns false and retires none if evicting
    // all of them would not be enough.
    bool evict_idle_replicas(const placement_view& view, server_plan& target, mebibytes memory,
                             placement_plan& plan)
    {
        std::vector<idle_replica> candidates;
        mebibytes free = target.free;
        for (const auto& replica : target.server->report.replicas)
        {
            replica_location location{.server = target.server->server, .model = replica.model};
            if (plan.retiring.contains(location))
            {
                free += replica.memory;
                continue;
            }
            auto unused = idle(*target.server, replica, view.now);
            if (unused && unused->idle >= options_.min_idle)
            {
                candidates.push_back(*unused);
            }
        }
        std::sort(candidates.begin(), candidates.end(),
                  [&](const idle_replica& x, const idle_replica& y)
                  { return prefer_eviction(x, y); });
        std::vector<replica_location> victims;
        for (const auto& it : candidates)
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

    // A replica that is already retiring is evicted first, so that successive plans agree.
    bool prefer_eviction(const idle_replica& x, const idle_replica& y) const
    {
        bool x_retiring = idle_.retiring({.server = x.server, .model = x.model});
        bool y_retiring = idle_.retiring({.server = y.server, .model = y.model});
        return x_retiring != y_retiring ? x_retiring : policy_.evict_before(x, y);
    }

    void plan_unloads(const placement_view& view, placement_plan& plan)
    {
        for (const auto& server : view.servers)
        {
            for (const auto& replica : server.report.replicas)
            {
                replica_location location{.server = server.server, .model = replica.model};
                bool inactive = replica.running == 0 && replica.adapters_loading.empty() &&
                                std::none_of(server.unsettled.begin(), server.unsettled.end(),
                                             [&](const engine_order& order)
                                             { return order.model == replica.model; });
                if (inactive && idle_.retired(location, options_.retire_grace, view.now))
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
    demand_tracker demands_;
    workspace_loads workspaces_;
};

} // namespace banyanshunt
