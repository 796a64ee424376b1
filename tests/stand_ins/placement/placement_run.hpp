#pragma once

/// \file
/// Runs the placement decisions against `placement_fleet` under a test clock: the product's
/// planners, one for each failure domain, which share a slot ledger. The run has no hosts and no
/// messages.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "coordination/placement/placement_planner.hpp"
#include "coordination/placement/placement_policies.hpp"
#include "coordination/placement/slot_claims.hpp"
#include "coordination/placement/slot_writer.hpp"
#include "stand_ins/placement/placement_load.hpp"

namespace banyanshunt
{

struct run_options
{
    deployment fleet;
    load_scenario scenario = load_scenario::steady;
    fleet_faults faults = {};
    seconds length{600};
    std::uint64_t seed = 1;
    milliseconds remote_time{4000};
    /// Whether slots go to servers that have the checkpoint cached, or by the preference alone.
    bool claim_by_cache = true;
    /// Hides unsettled orders from the planner; a fault injected to test the checks.
    bool forget_unsettled = false;
    /// Lets planners load without a slot; a fault injected to test the checks.
    bool ignore_slots = false;
};

struct run_result
{
    std::vector<double> cold_seconds;
    double idle_hours = 0;
    int requests = 0;
    int cold = 0;
    int served = 0;
    int refused = 0;
    /// Requests refused only at their deadline, not earlier.
    int refused_at_deadline = 0;
    /// Requests neither served nor refused by the end of the run.
    int dropped = 0;
    int loads = 0;
    int wasted = 0;
    fleet_violations violations;
    double slowest_plan_ms = 0;
    double mean_plan_ms = 0;

    double percentile(double fraction) const
    {
        if (cold_seconds.empty())
        {
            return 0;
        }
        auto sorted = cold_seconds;
        std::sort(sorted.begin(), sorted.end());
        auto rank =
            static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }
};

/// One run; `run` may be called once.
template <placement_policy Policy>
class placement_run
{
public:
    placement_run(run_options options, Policy policy)
        : options_(std::move(options)), state_(state_of(options_.fleet, options_.seed)),
          preference_(make_slot_preference(*state_)), fleet_({.limits = options_.fleet.limits,
                                                              .remote_time = options_.remote_time,
                                                              .faults = options_.faults,
                                                              .seed = options_.seed})
    {
        for (const auto& [id, entry] : state_->servers)
        {
            fleet_.add(id, entry->value->memory);
            std::string domain = entry->value->domain.str();
            domains_.try_emplace(domain, policy, budget_of(domain_id(domain)));
            domains_.at(domain).servers.push_back(id);
            writers_.try_emplace(id,
                                 slot_writer_options{.server = id, .fencing = fencing_number(1)});
        }
        draw_caches(*state_, fleet_, options_.seed);
    }

    run_result run()
    {
        instant start_time = clock_.now();
        auto requests = draw_requests(options_.fleet, options_.scenario, start_time,
                                      options_.length, options_.seed);
        constexpr seconds tail(120);
        std::size_t next = 0;
        for (instant end = start_time + options_.length + tail; clock_.now() < end;)
        {
            clock_.advance(step);
            inject_scenario_faults(start_time);
            for (; next < requests.size() && requests[next].arrival <= clock_.now(); ++next)
            {
                arrive(requests[next]);
            }
            fleet_.step(clock_.now(), step, *state_);
            finish_running();
            serve_waiting();
            plan_all();
            result_.idle_hours += fleet_.idle_accelerators() * step.count() / 3.6e6;
        }
        result_.dropped = static_cast<int>(waiting_.size());
        result_.loads = fleet_.loads_started();
        result_.wasted = fleet_.loads_wasted();
        result_.violations = fleet_.violations();
        result_.mean_plan_ms /= std::max(plans_, 1);
        return result_;
    }

private:
    static constexpr milliseconds step{50};
    static constexpr milliseconds max_order_delay{2000};

    struct domain_run
    {
        domain_run(Policy policy, fixed_load_budget budget)
            : planner(std::move(policy), budget), orders(max_order_delay)
        {
        }

        placement_planner<Policy, fixed_load_budget> planner;
        order_tracker orders;
        std::vector<server_id> servers;
        std::vector<expected_load> expected;
        overcommitted_models overcommitted;
        bool lane_free = false;
    };

    struct waiting_request
    {
        placed_request request;
        bool cold = true;
    };

    struct running_request
    {
        server_id server;
        model_id model;
        instant end;
    };

    fixed_load_budget budget_of(const domain_id& own) const
    {
        std::vector<domain_id> domains;
        domains.reserve(static_cast<std::size_t>(options_.fleet.domains));
        for (int n = 0; n < options_.fleet.domains; ++n)
        {
            domains.emplace_back("domain-" + std::to_string(n));
        }
        return fixed_load_budget(split_limits(options_.fleet.limits, domains, own));
    }

    // Applies the faults of the scenario.
    void inject_scenario_faults(instant start_time)
    {
        instant burst = start_time + options_.length / 2;
        if (options_.scenario == load_scenario::slow_store && clock_.now() >= burst)
        {
            constexpr int slowdown = 3;
            fleet_.set_remote_time(options_.remote_time * slowdown);
        }
        constexpr seconds delay_after_burst(3);
        if (options_.scenario == load_scenario::lost_server &&
            clock_.now() >= burst + delay_after_burst)
        {
            server_id lost_server("server-003");
            std::erase_if(running_,
                          [&](const running_request& it) { return it.server == lost_server; });
            fleet_.remove(lost_server);
        }
    }

    void arrive(const placed_request& request)
    {
        ++result_.requests;
        auto server = find_ready(request);
        if (server)
        {
            start(request, *server);
            return;
        }
        ++result_.cold;
        waiting_.push_back({.request = request});
    }

    // The first server with a ready replica of the model that is not retiring.
    std::optional<server_id> find_ready(const placed_request& request) const
    {
        for (const auto& [id, engine] : fleet_.engines())
        {
            bool is_retiring = retiring_.contains({.server = id, .model = request.model});
            if (!is_retiring && fleet_.ready(id, request.model, request.adapter))
            {
                return id;
            }
        }
        return std::nullopt;
    }

    void start(const placed_request& request, const server_id& server)
    {
        ++result_.served;
        fleet_.add_running(server, request.model, 1);
        running_.push_back(
            {.server = server, .model = request.model, .end = clock_.now() + request.service});
    }

    void finish_running()
    {
        for (const auto& it : running_)
        {
            if (it.end <= clock_.now())
            {
                fleet_.add_running(it.server, it.model, -1);
            }
        }
        std::erase_if(running_, [&](const running_request& it) { return it.end <= clock_.now(); });
    }

    // Whether the request's model is expected to be ready only after the request's deadline.
    bool cannot_meet_deadline(const placed_request& request) const
    {
        std::optional<nanoseconds> soonest;
        for (const auto& [name, domain] : domains_)
        {
            for (const auto& it : domain.expected)
            {
                if (it.model == request.model && (!soonest || it.ready_in < *soonest))
                {
                    soonest = it.ready_in;
                }
            }
        }
        return !Policy::head_of_line_blocking && soonest &&
               clock_.now() + *soonest > request.deadline;
    }

    void serve_waiting()
    {
        std::vector<waiting_request> remaining;
        for (auto& it : waiting_)
        {
            auto server = find_ready(it.request);
            if (server && clock_.now() <= it.request.deadline)
            {
                result_.cold_seconds.push_back(
                    std::chrono::duration<double>(clock_.now() - it.request.arrival).count());
                start(it.request, *server);
            }
            else if (clock_.now() >= it.request.deadline || cannot_meet_deadline(it.request))
            {
                ++result_.refused;
                result_.refused_at_deadline += clock_.now() >= it.request.deadline ? 1 : 0;
            }
            else
            {
                remaining.push_back(std::move(it));
            }
        }
        waiting_ = std::move(remaining);
    }

    std::vector<replica_demand> merged_demands() const
    {
        std::map<order_target, replica_demand> merged;
        for (const auto& it : waiting_)
        {
            const placed_request& r = it.request;
            auto [entry, first] = merged.try_emplace({.model = r.model, .adapter = r.adapter},
                                                     replica_demand{.model = r.model,
                                                                    .adapter = r.adapter,
                                                                    .waiting = 0,
                                                                    .deadline = r.deadline,
                                                                    .workspace = r.workspace});
            ++entry->second.waiting;
            entry->second.last_deadline = std::max(entry->second.last_deadline, r.deadline);
        }
        std::vector<replica_demand> all;
        all.reserve(merged.size());
        for (auto& [target, demand] : merged)
        {
            all.push_back(std::move(demand));
        }
        return all;
    }

    void claim_slots(domain_run& domain)
    {
        record_unowned(preference_, ledger_, clock_.now(), unowned_);
        slot_claim_view view{.state = *state_,
                             .preference = preference_,
                             .ledger = ledger_,
                             .unowned = unowned_,
                             .now = clock_.now()};
        std::set<model_id> yielded = domain.overcommitted.recent(clock_.now());
        auto most_free = most_free_server(domain);
        for (const auto& id : domain.servers)
        {
            auto it = claimant(domain, id);
            if (options_.claim_by_cache)
            {
                it.yielded = yielded;
                it.can_start =
                    domain.lane_free && id == most_free ? demanded_models() : std::set<model_id>();
            }
            auto record = writers_.at(id).next(ledger_, wanted_slots(view, it), clock_.now());
            if (record)
            {
                ledger_.apply(*record, ledger_.next_offset());
            }
        }
    }

    std::set<model_id> demanded_models() const
    {
        std::set<model_id> models;
        for (const auto& it : waiting_)
        {
            models.insert(it.request.model);
        }
        return models;
    }

    server_id most_free_server(const domain_run& domain) const
    {
        server_id best;
        mebibytes best_free;
        for (const auto& id : domain.servers)
        {
            auto engine = fleet_.engines().find(id);
            if (engine == fleet_.engines().end())
            {
                continue;
            }
            mebibytes free = engine->second.memory_total - engine->second.memory_used;
            if (best.empty() || free > best_free)
            {
                best = id;
                best_free = free;
            }
        }
        return best;
    }

    slot_claimant claimant(const domain_run& domain, const server_id& id) const
    {
        slot_claimant it{.server = id,
                         .leaving = !fleet_.alive(id),
                         .held = {},
                         .cached = {},
                         .yielded = {},
                         .can_start = {}};
        for (const auto& order : domain.orders.orders(id))
        {
            it.held.insert(order.model);
        }
        if (it.leaving)
        {
            it.held.clear();
            return it;
        }
        const engine_report& engine = fleet_.engines().at(id);
        for (const auto& replica : engine.replicas)
        {
            it.held.insert(replica.model);
        }
        for (const auto& cached : engine.cached)
        {
            if (options_.claim_by_cache && cached.tier != checkpoint_tier::remote)
            {
                auto [known, first] = it.cached.try_emplace(cached.model, cached.tier);
                known->second = std::min(known->second, cached.tier);
            }
        }
        return it;
    }

    std::map<model_id, int> usable_slots(const server_id& id) const
    {
        std::map<model_id, int> usable;
        for (const auto& [slot, preferred] : preference_)
        {
            if (options_.ignore_slots || writers_.at(id).may_use(ledger_, slot))
            {
                usable.try_emplace(slot.model, slot.index);
            }
        }
        return usable;
    }

    placement_view make_view(domain_run& domain, const std::vector<replica_demand>& demands)
    {
        placement_view view{
            .state = state_, .servers = {}, .demands = demands, .now = clock_.now()};
        for (const auto& id : domain.servers)
        {
            auto report = fleet_.read_back(id);
            if (!report)
            {
                continue;
            }
            domain.orders.settle(id, *report, clock_.now());
            view.servers.push_back({.server = id,
                                    .fencing = fencing_number(1),
                                    .leaving = false,
                                    .report = std::move(*report),
                                    .slots = usable_slots(id),
                                    .unsettled = options_.forget_unsettled
                                                     ? std::vector<engine_order>()
                                                     : domain.orders.orders(id)});
        }
        return view;
    }

    void plan_all()
    {
        auto demands = merged_demands();
        retiring_.clear();
        for (auto& [name, domain] : domains_)
        {
            claim_slots(domain);
            auto view = make_view(domain, demands);
            auto plan_start = std::chrono::steady_clock::now();
            auto plan = domain.planner.plan(view);
            double ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() -
                                                                  plan_start)
                            .count();
            result_.slowest_plan_ms = std::max(result_.slowest_plan_ms, ms);
            result_.mean_plan_ms += ms;
            ++plans_;
            domain.expected = plan.expected;
            domain.overcommitted.record(plan.overcommitted, clock_.now());
            domain.lane_free = plan.lane_free;
            retiring_.insert(plan.retiring.begin(), plan.retiring.end());
            send(domain, plan.orders);
        }
    }

    void send(domain_run& domain, const std::vector<planned_order>& orders)
    {
        for (const auto& it : orders)
        {
            domain.orders.record_sent(it.server, it.order, clock_.now());
            if (fleet_.order(it, clock_.now()) == order_response::refused)
            {
                domain.orders.record_refused(it.server, it.order);
            }
        }
    }

    run_options options_;
    fleet_state_ptr state_;
    slot_preference preference_;
    placement_fleet fleet_;
    test_clock clock_;
    std::map<std::string, domain_run> domains_;
    std::map<server_id, slot_writer> writers_;
    slot_ledger ledger_;
    unowned_since unowned_;
    std::set<replica_location> retiring_;
    std::vector<waiting_request> waiting_;
    std::vector<running_request> running_;
    run_result result_;
    int plans_ = 0;
};

} // namespace banyanshunt
