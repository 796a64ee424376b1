#pragma once

/// \file
/// The placer of one failure domain without threads and sockets: it holds the leases on the
/// domain's engines, reads them back, plans, and sends orders. The log, the engine and the clock
/// are template parameters, so that tests can run many placers in one process.

#include <functional>

#include "coordination/placement/placement_planner.hpp"
#include "coordination/placement/placement_policies.hpp"
#include "coordination/rendezvous.hpp"
#include "placer/lease_manager.hpp"
#include "placer/slot_manager.hpp"

namespace banyanshunt
{

/// The operations of an engine client that a placer uses.
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
    /// How long to wait before reading back a server again that did not respond.
    milliseconds read_retry_delay{1000};
};

/// The input of one step: the state of the domain as the placer knows it.
struct domain_view
{
    fleet_state_ptr state;
    /// The placers of the domain that are believed to be alive, including this one.
    std::vector<std::string> placers;
    /// Servers that the platform listed before and no longer lists.
    std::set<server_id> removed;
    std::vector<replica_demand> demands;
};

/// One engine under this placer's lease, as published to entry hosts.
struct placed_engine
{
    server_id server;
    fencing_number fencing;
    engine_report report;
};

/// The result of one step.
struct domain_step_result
{
    std::vector<placed_engine> engines;
    std::vector<expected_load> expected;
    std::set<replica_location> retiring;
};

/// Called with each order and its result.
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
          orders_(options_.lease.max_order_delay),
          history_({.lease = options_.lease.terms.lease,
                    .open_order_time = options_.lease.max_order_delay,
                    .clock_difference = unknown_process_age})
    {
    }

    /// Sets the domain's share of the weight store's limits.
    void set_share(const load_share& share) { planner_.budget().set_share(share); }

    /// Does one round: reads the log, claims and renews leases, reads servers back, plans, and
    /// sends orders.
    domain_step_result step(const domain_view& view)
    {
        (void)leases_.read();
        (void)slots_.read();
        observe_engines(view);
        claim_leases(view);
        leases_.renew();
        read_servers(view);
        write_slots(view);
        auto plan = planner_.plan(make_placement_view(view));
        overcommitted_.record(plan.overcommitted, clock_.now());
        lane_free_ = plan.lane_free;
        send(view, plan.orders);
        return {.engines = make_placed_engines(plan),
                .expected = std::move(plan.expected),
                .retiring = std::move(plan.retiring)};
    }

    /// Releases the leases on all servers to which no order can be in flight, and states how long
    /// the next holder waits; for a planned stop.
    void release()
    {
        instant now = clock_.now();
        std::map<server_id, milliseconds> waits;
        for (const auto& [server, known] : known_)
        {
            auto is_this = [&id = server](const server_id& other) { return other == id; };
            auto claim = leases_.claim_of(server);
            if (claim && orders_.orders(server).empty() &&
                history_.is_settled(*claim, is_this, now))
            {
                waits[server] =
                    release_delay(history_.last_order_at(is_this), claim->taken.may_order_at,
                                  options_.lease.terms.lease, now);
            }
        }
        for (const auto& [server, wait] : waits)
        {
            leases_.release(server, wait);
        }
    }

    /// The holder of the leases on the domain's servers, if any; taken from the first server's
    /// lease, because one placer claims all of them.
    std::optional<host_id> holder() const
    {
        auto servers = leases_.servers();
        return servers.empty() ? std::nullopt
                               : std::optional(leases_.find(servers.front())->holder);
    }

    const slot_ledger& ledger() const { return slots_.ledger(); }

private:
    /// Reports do not tell when the engine's process started, so that none counts as younger than
    /// an order.
    static constexpr milliseconds unknown_process_age = std::chrono::hours(24 * 3650);

    struct known_server
    {
        fencing_number fencing;
        /// The newest report; `fresh` is whether it is from this round, under this lease's number,
        /// and no order of an earlier holder can change what it says.
        std::optional<engine_report> report;
        bool fresh = false;
        instant retry_at;
    };

    std::vector<server_id> local_engines(const fleet_state& state) const
    {
        std::vector<server_id> servers;
        for (const auto& [id, entry] : state.servers)
        {
            bool is_local_engine = entry->value && entry->value->kind == server_kind::engine &&
                                   entry->value->domain == options_.lease.domain;
            if (is_local_engine)
            {
                servers.push_back(id);
            }
        }
        return servers;
    }

    void observe_engines(const domain_view& view)
    {
        std::map<server_id, order_history::registered_engine> engines;
        for (const auto& server : local_engines(*view.state))
        {
            if (!view.removed.contains(server))
            {
                engines[server] = {};
            }
        }
        history_.observe(engines, clock_.now());
    }

    // Gives the order and records when it ended, and whether it may still be carried out.
    verdict<done> send_order(const domain_view& view, const server_id& server,
                             const engine_order& order)
    {
        auto sent = engine_.order(find_object(view.state->servers, server)->address, order);
        bool answered = sent || sent.error().run == run_state::not_run;
        history_.record_order(server, order.fencing, answered, clock_.now());
        return sent;
    }

    // One placer claims all servers of the domain, so that one decides. A lease is not claimed from
    // a holder that is believed to be alive, because each takeover costs a delay.
    void claim_leases(const domain_view& view)
    {
        if (view.placers.empty() ||
            rendezvous_order(options_.lease.domain.str(), view.placers).front() !=
                options_.lease.holder.str())
        {
            return;
        }
        std::set<server_id> servers;
        for (const auto& server : local_engines(*view.state))
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
            bool held_by_live_placer =
                it && (leases_.is_mine(*it) || (it->holder != options_.lease.holder &&
                                                std::count(view.placers.begin(), view.placers.end(),
                                                           it->holder.str()) > 0));
            if (!held_by_live_placer)
            {
                (void)leases_.claim(server);
            }
        }
    }

    // A server that a ticket or the platform has removed holds no replicas any more.
    bool is_removed(const domain_view& view, const server_id& server) const
    {
        return !find_object(view.state->servers, server) || view.removed.contains(server);
    }

    std::optional<fencing_number> current_fencing(const domain_view& view,
                                                  const server_id& server) const
    {
        const server_object* object = find_object(view.state->servers, server);
        bool removed = is_removed(view, server);
        bool checks_fencing = !removed && object->checks_fencing;
        auto fencing = leases_.order_fencing(server, checks_fencing);
        if (!fencing || removed || checks_fencing)
        {
            return fencing;
        }
        // The engine may still read an order of an earlier holder.
        auto allowed_at = history_.first_order_at(server, *leases_.claim_of(server));
        return allowed_at && *allowed_at <= clock_.now() ? fencing : std::nullopt;
    }

    void read_servers(const domain_view& view)
    {
        std::map<server_id, fencing_number> claimed;
        std::map<server_id, fencing_number> held;
        for (const auto& server : leases_.servers())
        {
            if (auto claim = leases_.claim_of(server))
            {
                claimed[server] = claim->fence;
            }
            if (auto fencing = current_fencing(view, server))
            {
                held[server] = *fencing;
            }
        }
        slots_.set_held(held);
        forget_except(claimed);
        for (const auto& [server, fencing] : claimed)
        {
            known_server& known = known_[server];
            known.fencing = fencing;
            known.fresh = false;
            if (!is_removed(view, server))
            {
                read_server(view, server, known, held.contains(server));
            }
        }
    }

    // Orders without effect stay in `orders_`: they may still be carried out, and a renewed claim
    // or an outage of the log changes nothing about that.
    void forget_except(const std::map<server_id, fencing_number>& claimed)
    {
        std::erase_if(known_,
                      [&](const auto& it)
                      {
                          auto current = claimed.find(it.first);
                          return current == claimed.end() || current->second != it.second.fencing;
                      });
    }

    // Engines are also read while the holder before may still order them: the first order depends
    // on their responses, and entry hosts go on using what they serve.
    void read_server(const domain_view& view, const server_id& server, known_server& known,
                     bool may_order)
    {
        const server_object* object = find_object(view.state->servers, server);
        instant requested_at = clock_.now();
        if (requested_at < known.retry_at)
        {
            return;
        }
        auto report = engine_.read_back(object->address);
        if (!report)
        {
            known.retry_at = clock_.now() + options_.read_retry_delay;
            return;
        }
        if (auto claim = leases_.claim_of(server))
        {
            history_.record_response(server, *claim, requested_at, clock_.now());
        }
        if (known.report && known.report->incarnation != report->incarnation)
        {
            orders_.drop_taken(server);
        }
        known.report = *report;
        orders_.settle(server, *report, requested_at);
        // Until the engine has seen this lease's fencing number, it may accept an earlier holder's
        // orders, so the report may already be out of date.
        bool shows_fencing = !object->checks_fencing || report->fencing >= known.fencing;
        known.fresh = may_order && shows_fencing;
        if (!shows_fencing)
        {
            (void)send_order(view, server, make_fencing_order(known.fencing));
        }
    }

    slot_claimant claimant(const domain_view& view, const server_id& server,
                           const known_server& known) const
    {
        const server_object* object = find_object(view.state->servers, server);
        bool removed = is_removed(view, server);
        slot_claimant it{.server = server,
                         .leaving = removed || object->leaving,
                         .held = {},
                         .cached = {},
                         .yielded = {},
                         .can_start = {}};
        if (removed)
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

    static std::set<model_id> demanded_models(const std::vector<replica_demand>& demands)
    {
        std::set<model_id> models;
        for (const auto& demand : demands)
        {
            models.insert(demand.model);
        }
        return models;
    }

    // The server with the most free memory among those with a fresh report.
    server_id most_free_server() const
    {
        server_id best;
        mebibytes best_free;
        for (const auto& [server, known] : known_)
        {
            if (!known.fresh)
            {
                continue;
            }
            mebibytes free = known.report->memory_total - known.report->memory_used;
            if (best.empty() || free > best_free)
            {
                best = server;
                best_free = free;
            }
        }
        return best;
    }

    void write_slots(const domain_view& view)
    {
        if (preference_state_ != view.state)
        {
            preference_ = make_slot_preference(*view.state);
            preference_state_ = view.state;
        }
        record_unowned(preference_, slots_.ledger(), clock_.now(), unowned_);
        static const unowned_since no_slots;
        slot_claim_view claims{.state = *view.state,
                               .preference = preference_,
                               .ledger = slots_.ledger(),
                               .unowned = slots_.may_claim() ? unowned_ : no_slots,
                               .now = clock_.now()};
        auto yielded = overcommitted_.recent(clock_.now());
        auto most_free = most_free_server();
        std::map<server_id, slot_set> wanted;
        for (const auto& [server, known] : known_)
        {
            bool replicas_known = known.fresh || is_removed(view, server);
            if (!replicas_known)
            {
                wanted[server] = slots_.ledger().slots_of(server);
                continue;
            }
            auto it = claimant(view, server, known);
            it.yielded = yielded;
            if (lane_free_ && server == most_free)
            {
                it.can_start = demanded_models(view.demands);
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
            bool decided = model && slot.index < model->max_replicas;
            if (decided && slots_.may_use(server, slot))
            {
                usable.try_emplace(slot.model, slot.index);
            }
        }
        return usable;
    }

    placement_view make_placement_view(const domain_view& view) const
    {
        placement_view input{
            .state = view.state, .servers = {}, .demands = view.demands, .now = clock_.now()};
        for (const auto& [server, known] : known_)
        {
            if (!known.fresh)
            {
                continue;
            }
            const server_object* object = find_object(view.state->servers, server);
            input.servers.push_back({.server = server,
                                     .fencing = known.fencing,
                                     .leaving = object->leaving,
                                     .report = *known.report,
                                     .slots = usable_slots(*view.state, server),
                                     .unsettled = orders_.orders(server)});
        }
        return input;
    }

    // The lease is checked again right before each order, as it may have expired since the plan.
    void send(const domain_view& view, const std::vector<planned_order>& orders)
    {
        for (const auto& it : orders)
        {
            auto fencing = current_fencing(view, it.server);
            if (!fencing || *fencing != it.order.fencing)
            {
                continue;
            }
            orders_.record_sent(it.server, it.order, clock_.now());
            auto sent = send_order(view, it.server, it.order);
            if (sent)
            {
                orders_.record_taken(it.server, it.order);
            }
            else if (sent.error().run == run_state::not_run)
            {
                orders_.record_refused(it.server, it.order);
            }
            observer_(it, sent);
        }
    }

    // A server that does not respond now is published with its last report, as it may still serve.
    std::vector<placed_engine> make_placed_engines(const placement_plan& plan) const
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
                bool is_retiring =
                    plan.retiring.contains({.server = server, .model = replica.model});
                replica.phase = is_retiring ? replica_phase::unloading : replica.phase;
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
    order_history history_;
    std::map<server_id, known_server> known_;
    slot_preference preference_;
    fleet_state_ptr preference_state_;
    unowned_since unowned_;
    overcommitted_models overcommitted_;
    bool lane_free_ = false;
};

} // namespace banyanshunt
