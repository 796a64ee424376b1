#pragma once

/// \file
/// Defines the placer of one failure domain without its threads and sockets: it holds the leases on
/// the domain's engines, reads them back, plans, and sends orders. It runs on the concepts of the
/// log, the engine and the clock, so that many of them can run side by side in one process.

#include <functional>

#include "coordination/placement/placement_planner.hpp"
#include "coordination/placement/placement_policies.hpp"
#include "coordination/rendezvous.hpp"
#include "placer/lease_manager.hpp"
#include "placer/slot_manager.hpp"

namespace banyanshunt
{

/// The part of an engine's client that a placer uses.
template <class T>
concept engine_client = requires(T& engine, const std::string& address, const engine_order& order)
{
    {
        engine.order(address, order)
        } -> std::same_as<verdict<done>>;
    {
        engine.read_back(address)
        } -> std::same_as<verdict<engine_report>>;
};

struct domain_placer_options
{
    lease_manager_options lease;
    slot_manager_options slots;
    planner_options planner;
    /// How long a server that did not answer is left alone.
    milliseconds read_retry_delay{1000};
};

/// What a placer knows of the domain around it.
struct domain_view
{
    fleet_state_ptr state;
    /// The placers of the domain that are thought to be alive, this one among them.
    std::vector<std::string> placers;
    /// Servers that the platform listed once and lists no more.
    std::set<server_id> removed;
    std::vector<replica_demand> needs;
};

/// One engine under this placer's lease, as entry hosts are to see it.
struct placed_engine
{
    server_id server;
    fencing_number fencing;
    engine_report report;
};

/// What one step found and did.
struct domain_step_result
{
    std::vector<placed_engine> engines;
    std::vector<expected_load> expected;
    std::set<replica_location> retiring;
};

/// Called with each order and what came of it.
using order_observer = std::function<void(const planned_order&, const verdict<done>&)>;

/// Used by one thread.
template <log_service Log, engine_client Engine, clock_source Clock,
          placement_policy Policy = expected_use_policy>
class domain_placer
{
public:
    domain_placer(
        Log& log, Engine& engine, const Clock& clock, domain_placer_options options,
        order_observer observer = [](const auto&, const auto&) {})
        : engine_(engine), clock_(clock), options_(std::move(options)),
          observer_(std::move(observer)), leases_(log, clock, options_.lease),
          slots_(log, clock, options_.slots),
          planner_(Policy(), fixed_load_budget(load_share()), options_.planner),
          orders_(options_.lease.max_order_delay)
    {
    }

    /// Sets the domain's part of the weight store's limits.
    void set_share(const load_share& share) { planner_.budget().set_share(share); }

    /// Does one round.
    domain_step_result step(const domain_view& view)
    {
        (void)leases_.read();
        (void)slots_.read();
        claim_leases(view);
        leases_.renew();
        read_servers(view);
        write_slots(view);
        auto plan = planner_.plan(planned_from(view));
        crowded_.record(plan.overcommitted, clock_.now());
        lane_free_ = plan.lane_free;
        send(view, plan.orders);
        return {.engines = placed(plan),
                .expected = std::move(plan.expected),
                .retiring = std::move(plan.retiring)};
    }

    /// Gives up the leases on all servers to which no order can be under way; for a planned stop.
    void release()
    {
        for (const auto& [server, known] : known_)
        {
            if (orders_.orders(server).empty())
            {
                leases_.release(server);
            }
        }
    }

    /// Who holds the lease on the domain's servers, if anyone does; the first server's holder
    /// stands for all.
    std::optional<host_id> holder() const
    {
        auto servers = leases_.servers();
        return servers.empty() ? std::nullopt
                               : std::optional(leases_.find(servers.front())->holder);
    }

    const slot_ledger& ledger() const { return slots_.ledger(); }

private:
    struct known_server
    {
        fencing_number fencing;
        /// The newest report, and whether it came in this round.
        std::optional<engine_report> report;
        bool fresh = false;
        instant ask_again_at;
    };

    std::vector<server_id> engines_here(const fleet_state& state) const
    {
        std::vector<server_id> here;
        for (const auto& [id, entry] : state.servers)
        {
            bool engine = entry->value && entry->value->kind == server_kind::engine &&
                          entry->value->domain == options_.lease.domain;
            if (engine)
            {
                here.push_back(id);
            }
        }
        return here;
    }

    // One placer takes all servers of the domain, so that one decides. A lease is taken from
    // nobody who is thought to be alive, because each take-over costs a wait.
    void claim_leases(const domain_view& view)
    {
        if (view.placers.empty() ||
            rendezvous_order(options_.lease.domain.str(), view.placers).front() !=
                options_.lease.holder.str())
        {
            return;
        }
        std::set<server_id> servers;
        for (const auto& server : engines_here(*view.state))
        {
            servers.insert(server);
        }
        for (const auto& server : leases_.servers())
        {
            servers.insert(server);
        }
        for (const auto& server : servers)
        {
            auto it = leases_.find(server);
            bool held =
                it && (leases_.is_mine(*it) || (it->holder != options_.lease.holder &&
                                                std::count(view.placers.begin(), view.placers.end(),
                                                           it->holder.str()) > 0));
            if (!held)
            {
                (void)leases_.claim(server);
            }
        }
    }

    // A server that tickets or the platform have taken away holds nothing any more.
    bool is_gone(const domain_view& view, const server_id& server) const
    {
        return !find_object(view.state->servers, server) || view.removed.contains(server);
    }

    std::optional<fencing_number> may_order(const domain_view& view, const server_id& server) const
    {
        const server_object* object = find_object(view.state->servers, server);
        bool gone = is_gone(view, server);
        return leases_.order_fencing(server, !gone && object->checks_fencing);
    }

    void read_servers(const domain_view& view)
    {
        std::map<server_id, fencing_number> held;
        for (const auto& server : leases_.servers())
        {
            auto fencing = may_order(view, server);
            if (fencing)
            {
                held[server] = *fencing;
            }
        }
        slots_.set_held(held);
        forget_all_but(held);
        for (const auto& [server, fencing] : held)
        {
            known_server& known = known_[server];
            known.fencing = fencing;
            known.fresh = false;
            if (!is_gone(view, server))
            {
                read_server(view, server, known);
            }
        }
    }

    void forget_all_but(const std::map<server_id, fencing_number>& held)
    {
        std::erase_if(known_,
                      [&](const auto& it)
                      {
                          auto now = held.find(it.first);
                          bool lost = now == held.end() || now->second != it.second.fencing;
                          if (lost)
                          {
                              orders_.forget(it.first);
                          }
                          return lost;
                      });
    }

    void read_server(const domain_view& view, const server_id& server, known_server& known)
    {
        const server_object* object = find_object(view.state->servers, server);
        instant asked_at = clock_.now();
        if (asked_at < known.ask_again_at)
        {
            return;
        }
        auto report = engine_.read_back(object->address);
        if (!report)
        {
            known.ask_again_at = clock_.now() + options_.read_retry_delay;
            return;
        }
        known.report = *report;
        orders_.settle(server, *report, asked_at);
        // Until the engine has seen this lease's number it may take an earlier holder's orders,
        // and what it holds may change behind our back.
        known.fresh = !object->checks_fencing || report->fencing >= known.fencing;
        if (!known.fresh)
        {
            (void)engine_.order(object->address, make_fencing_order(known.fencing));
        }
    }

    slot_claimant claimant(const domain_view& view, const server_id& server,
                           const known_server& known) const
    {
        const server_object* object = find_object(view.state->servers, server);
        bool gone = is_gone(view, server);
        slot_claimant it{.server = server,
                         .leaving = gone || object->leaving,
                         .held = {},
                         .cached = {},
                         .yielded = {},
                         .can_start = {}};
        if (gone)
        {
            return it;
        }
        for (const auto& order : orders_.orders(server))
        {
            it.held.insert(order.model);
        }
        for (const auto& replica : known.report->replicas)
        {
            it.held.insert(replica.model);
        }
        for (const auto& cached : known.report->cached)
        {
            const model_object* model = find_object(view.state->models, cached.model);
            if (model && model->version == cached.version && cached.tier != checkpoint_tier::remote)
            {
                auto best = it.cached.try_emplace(cached.model, cached.tier).first;
                best->second = std::min(best->second, cached.tier);
            }
        }
        return it;
    }

    static std::set<model_id> waited_for(const std::vector<replica_demand>& needs)
    {
        std::set<model_id> models;
        for (const auto& need : needs)
        {
            models.insert(need.model);
        }
        return models;
    }

    // The server with the most free memory among those just read back.
    server_id roomiest_server() const
    {
        server_id best;
        mebibytes most;
        for (const auto& [server, known] : known_)
        {
            if (!known.fresh)
            {
                continue;
            }
            mebibytes free = known.report->memory_total - known.report->memory_used;
            if (best.empty() || free > most)
            {
                best = server;
                most = free;
            }
        }
        return best;
    }

    void write_slots(const domain_view& view)
    {
        if (preferred_for_ != view.state)
        {
            preference_ = make_slot_preference(*view.state);
            preferred_for_ = view.state;
        }
        record_unowned(preference_, slots_.ledger(), clock_.now(), unowned_);
        static const unowned_since none;
        slot_claim_view claims{.state = *view.state,
                               .preference = preference_,
                               .ledger = slots_.ledger(),
                               .unowned = slots_.may_claim() ? unowned_ : none,
                               .now = clock_.now()};
        auto left = crowded_.recent(clock_.now());
        auto roomiest = roomiest_server();
        std::map<server_id, slot_set> wanted;
        for (const auto& [server, known] : known_)
        {
            bool sure = known.fresh || is_gone(view, server);
            if (!sure)
            {
                wanted[server] = slots_.ledger().slots_of(server);
                continue;
            }
            auto it = claimant(view, server, known);
            it.yielded = left;
            if (lane_free_ && server == roomiest)
            {
                it.can_start = waited_for(view.needs);
            }
            wanted[server] = wanted_slots(claims, it);
        }
        (void)slots_.write(wanted);
    }

    std::map<model_id, int> usable_slots(const fleet_state& state, const server_id& server) const
    {
        std::map<model_id, int> usable;
        for (const auto& slot : slots_.ledger().slots_of(server))
        {
            const model_object* model = find_object(state.models, slot.model);
            bool counts = model && slot.index < model->max_replicas;
            if (counts && slots_.may_use(server, slot))
            {
                usable.try_emplace(slot.model, slot.index);
            }
        }
        return usable;
    }

    placement_view planned_from(const domain_view& view) const
    {
        placement_view planned{
            .state = view.state, .servers = {}, .demands = view.needs, .now = clock_.now()};
        for (const auto& [server, known] : known_)
        {
            if (!known.fresh)
            {
                continue;
            }
            const server_object* object = find_object(view.state->servers, server);
            planned.servers.push_back({.server = server,
                                       .fencing = known.fencing,
                                       .leaving = object->leaving,
                                       .report = *known.report,
                                       .slots = usable_slots(*view.state, server),
                                       .unsettled = orders_.orders(server)});
        }
        return planned;
    }

    // The lease is checked again right before each order: time has passed since the plan.
    void send(const domain_view& view, const std::vector<planned_order>& orders)
    {
        for (const auto& it : orders)
        {
            auto fencing = may_order(view, it.server);
            if (!fencing || *fencing != it.order.fencing)
            {
                continue;
            }
            orders_.record_sent(it.server, it.order, clock_.now());
            auto sent =
                engine_.order(find_object(view.state->servers, it.server)->address, it.order);
            if (!sent && sent.error().run == run_state::not_run)
            {
                orders_.record_refused(it.server, it.order);
            }
            observer_(it, sent);
        }
    }

    // A server that does not answer now is shown as it was last seen: it may still serve.
    std::vector<placed_engine> placed(const placement_plan& plan) const
    {
        std::vector<placed_engine> engines;
        for (const auto& [server, known] : known_)
        {
            if (!known.report)
            {
                continue;
            }
            placed_engine it{.server = server, .fencing = known.fencing, .report = *known.report};
            for (auto& replica : it.report.replicas)
            {
                bool goes = plan.retiring.contains({.server = server, .model = replica.model});
                replica.phase = goes ? replica_phase::unloading : replica.phase;
            }
            engines.push_back(std::move(it));
        }
        return engines;
    }

    Engine& engine_;
    const Clock& clock_;
    domain_placer_options options_;
    order_observer observer_;
    lease_manager<Log, Clock> leases_;
    slot_manager<Log, Clock> slots_;
    placement_planner<Policy, fixed_load_budget> planner_;
    order_tracker orders_;
    std::map<server_id, known_server> known_;
    slot_preference preference_;
    fleet_state_ptr preferred_for_;
    unowned_since unowned_;
    overcommitted_models crowded_;
    bool lane_free_ = false;
};

} // namespace banyanshunt
