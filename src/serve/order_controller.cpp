#include "serve/order_controller.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/rendezvous.hpp"
#include "platform/orders.hpp"
#include "platform/registry.hpp"
#include "serve/loop_runner.hpp"
#include "serve/server_exchange.hpp"
#include "state/elapsed_time.hpp"

namespace banyanshunt
{

namespace
{

/// The lease is shortened by this fraction (1/N) for the transit of the call and the drift between
/// two clocks.
constexpr int lease_margin_divisor = 10;
/// A claim waits for the answers of other hosts for this fraction (1/N) of a lease at most:
/// questions are repeated a few times within it.
constexpr int survey_patience_divisor = 2;
/// How long an order can be in transit: a lost packet is retransmitted after 200 ms, and the second
/// time after another 200 ms or more.
constexpr milliseconds order_transit_margin{450};
/// How long an order waits for a permit of an engine that states a limit, and how long until it is
/// reconsidered if none can be had in that time.
constexpr milliseconds max_permit_wait{2000};
constexpr milliseconds permit_recheck{250};
/// An engine responds to an order within milliseconds; a lost packet is retransmitted after 200 ms
/// or more.
constexpr milliseconds order_timeout{1000};
/// How often the other hosts are told of orders that engines may carry out late.
constexpr milliseconds late_order_interval{1000};
/// How often a new owner asks an engine that has not responded.
constexpr milliseconds probe_interval{450};
/// How often a host that gives up engines checks whether its last orders have ended.
constexpr milliseconds order_poll_interval{5};

/// What became of an order, as it appears in logs and metrics. Only one without a response may
/// still arrive at its engine.
const char* to_text(exchange_state it)
{
    switch (it)
    {
    case exchange_state::responded:
        return "responded";
    case exchange_state::not_sent:
        return "not_sent";
    case exchange_state::withheld:
        return "withheld";
    case exchange_state::no_response:
        return "no_response";
    }
    return "unknown";
}

} // namespace

order_controller::order_controller(host_context& context, fleet_link link)
    : context_(context), link_(std::move(link)),
      // Stable across restarts, so that the group assigns this host the partitions it had. Two
      // machines under one name are two members, as the group lists a partition for one member.
      member_(fmt::format("{}@{}", context.settings.name.str(), context.settings.ip)),
      store_(context.settings.log.address), membership_timer_(context.executor),
      history_(
          {.lease = lease(),
           .open_order_time = std::max(order_transit_margin + context.settings.bounds.order_delay,
                                       takeover_expiry(terms())),
           .order_delay = order_transit_margin + context.settings.bounds.order_delay}),
      survey_({.first_round = survey_round(context.incarnation.count()),
               .patience = lease() / survey_patience_divisor}),
      store_load_refilled_at_(context.now())
{
}

milliseconds order_controller::lease() const
{
    return std::max(context_.settings.bounds.lease, context_.settings.log.min_lease);
}

order_terms order_controller::terms() const
{
    return {.lease = lease(),
            .membership = lease() - lease() / lease_margin_divisor,
            .transit = order_transit_margin,
            .order_delay = context_.settings.bounds.order_delay};
}

void order_controller::start()
{
    spawn_loop(context_, "membership", [this] { return run_membership(); });
}

int order_controller::partition_of(const server_id& server) const
{
    auto weight = rendezvous_weight("partition", server.str());
    return static_cast<int>(weight % static_cast<std::uint64_t>(context_.settings.log.partitions));
}

const engine_spec* order_controller::engine_of(const server_id& server) const
{
    const auto* known = context_.servers.find(server);
    if (!known || !context_.config)
    {
        return nullptr;
    }
    const auto* service = context_.config->find_service(known->entry.service);
    return service && service->engine ? &*service->engine : nullptr;
}

void order_controller::observe_engines()
{
    instant now = context_.now();
    auto unix_now =
        std::chrono::floor<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    std::map<server_id, order_history::registered_engine> engines;
    for (const auto& [server, known] : context_.servers.servers())
    {
        if (known.owner)
        {
            int partition = partition_of(server);
            apply_known_number(partition, known.owner->fencing);
            report_shared_number(partition, *known.owner);
        }
        if (!known.removed && engine_of(server))
        {
            milliseconds started(known.entry.start_time_ms);
            engines.emplace(server, order_history::registered_engine{
                                        .start_time_ms = known.entry.start_time_ms,
                                        .process_started_at = now - (unix_now - started),
                                        .leaving = context_.servers.leaves(known)});
        }
    }
    history_.observe(engines, now);
}

void order_controller::report_shared_number(int partition, const engine_owner& owner)
{
    auto held = partitions_.find(partition);
    if (held == partitions_.end() || held->second.shared_reported ||
        owner.host == context_.settings.name || owner.fencing != held->second.number)
    {
        return;
    }
    held->second.shared_reported = true;
    context_.stats.increment("banyanshunt_shared_numbers_total");
    context_.log.write("duty_number_shared", "partition={} number={} fence={} host={}", partition,
                       owner.fencing.count(), held->second.fence.count(), owner.host.str());
}

void order_controller::update_owned_engines()
{
    observe_engines();
    for (auto it = owned_engines_.begin(); it != owned_engines_.end();)
    {
        const auto* known = context_.servers.find(it->first);
        bool keep = known && !known->removed && partitions_.contains(it->second->partition);
        if (!keep)
        {
            context_.servers.remove_owner(it->first);
            it->second->ended = true;
            it->second->wake_timer.cancel();
            it = owned_engines_.erase(it);
        }
        else
        {
            ++it;
        }
    }
    for (const auto& [server, known] : context_.servers.servers())
    {
        int partition = partition_of(server);
        if (owned_engines_.contains(server) || known.removed || !partitions_.contains(partition) ||
            !engine_of(server))
        {
            continue;
        }
        auto held = std::make_shared<owned_engine>(
            owned_engine{.controller = engine_controller(known.entry, engine_controller_options{},
                                                         context_.now()),
                         .partition = partition,
                         .wake_timer = asio::steady_timer(context_.executor),
                         .last_published = {}});
        owned_engines_.emplace(server, held);
        context_.log.write("engine_owned", "server={} partition={} fence={}", server.str(),
                           partition, partitions_.at(partition).fence.count());
        spawn_loop(context_, "engine",
                   [this, server = server, held] { return run_server(server, held); });
    }
}

order_history::claim order_controller::claim_of(const held_partition& it)
{
    return {.taken = it.taken, .fence = it.fence};
}

bool order_controller::is_settled(int partition, const held_partition& it) const
{
    return history_.is_settled(
        claim_of(it), [&](const server_id& server) { return partition_of(server) == partition; },
        context_.now());
}

bool order_controller::may_order(const server_id& server, instant now) const
{
    auto it = partitions_.find(partition_of(server));
    if (leaving_ || it == partitions_.end() || !it->second.confirmed || now >= membership_until_ ||
        it->second.outnumbered || !it->second.lasts)
    {
        return false;
    }
    auto first = history_.first_order_at(server, claim_of(it->second));
    return first && now >= *first;
}

instant order_controller::may_order_from(const server_id& server, instant now) const
{
    auto it = partitions_.find(partition_of(server));
    if (leaving_ || it == partitions_.end() || now >= membership_until_)
    {
        return now + takeover_expiry(terms());
    }
    return history_.first_order_at(server, claim_of(it->second))
        .value_or(std::max(it->second.taken.may_order_at, now + lease()));
}

void order_controller::publish_pending(const server_id& server, const owned_engine& held,
                                       instant may_order_at)
{
    auto partition = partitions_.find(held.partition);
    if (partition == partitions_.end())
    {
        return;
    }
    engine_owner owner{.host = context_.settings.name,
                       .incarnation = context_.incarnation,
                       .fencing = partition->second.number,
                       .may_order_at = may_order_at,
                       .reported_at = context_.now()};
    context_.servers.apply_owner(server, owner);
    link_.publish_pending_owner(server, owner);
}

bool order_controller::acquire_store_load(const engine_spec& engine)
{
    if (context_.servers.active_store_loads(context_.now()) >=
        context_.servers.options().max_store_loads)
    {
        return false;
    }
    // Each owner may begin one load at once; the rest of the bound is granted as a rate.
    const auto& bounds = context_.settings.bounds;
    double window_s = std::chrono::duration<double>(bounds.load_window).count();
    double allowed = engine.store_loads_per_s * window_s * bounds.load_rate_factor + 3;
    double partition_count = context_.settings.log.partitions;
    auto owners = static_cast<double>(member_count(link_.hosts()));
    double fleet_rate = std::max(0.2 * engine.store_loads_per_s, (allowed - owners - 1) / window_s);
    double own_fraction = static_cast<double>(partitions_.size()) / partition_count;
    instant now = context_.now();
    std::chrono::duration<double> elapsed = now - store_load_refilled_at_;
    store_load_refilled_at_ = now;
    store_load_tokens_ =
        std::min(1.0, store_load_tokens_ + elapsed.count() * fleet_rate * own_fraction);
    if (store_load_tokens_ < 1)
    {
        return false;
    }
    store_load_tokens_ -= 1;
    return true;
}

task<void> order_controller::run_server(server_id server, std::shared_ptr<owned_engine> held)
{
    while (!held->ended)
    {
        const auto* known = context_.servers.find(server);
        const engine_spec* engine = engine_of(server);
        instant now = context_.now();
        if (!known || !engine || !may_order(server, now))
        {
            held->announced = false;
            if (known && !held->pending_announced)
            {
                held->pending_announced = true;
                publish_pending(server, *held, may_order_from(server, now));
            }
            if (known && engine)
            {
                co_await probe_engine(server, held);
            }
            co_await pause(milliseconds(100));
            continue;
        }
        held->pending_announced = false;
        if (!context_.servers.accepts(server, known->entry.start_time_ms, now))
        {
            // It gets no requests any more, so nothing needs to be loaded there.
            co_await pause(milliseconds(100));
            continue;
        }
        if (!held->announced)
        {
            // After this publication the other hosts report their use of the server to this host.
            held->announced = true;
            held->controller = engine_controller(known->entry, engine_controller_options{}, now);
            publish_placement(server, *held);
        }
        held->controller.update(known->entry, now);
        if (context_.servers.limits().permit_wait(server, now) > max_permit_wait)
        {
            co_await pause(permit_recheck);
            continue;
        }
        auto step = held->controller.decide(
            *engine,
            {.count_other_replicas = [&](const model_id& model)
             { return context_.servers.count_other_replicas(server, model, now); },
             .available_elsewhere = [&](const model_target& target)
             { return context_.servers.available_elsewhere(server, target, now); },
             .acquire_store_load = [&] { return acquire_store_load(*engine); }},
            now);
        log_expired_requests(server, *held);
        if (step.action != engine_controller::step::action_kind::none &&
            (!co_await acquire_permit(server, *held) || !may_order(server, context_.now())))
        {
            co_await pause(permit_recheck);
            continue;
        }
        if (step.action == engine_controller::step::action_kind::query_report)
        {
            co_await query_report(server, held);
            publish_placement(server, *held);
        }
        else if (step.action == engine_controller::step::action_kind::order)
        {
            co_await send_order(server, held, step.order);
            publish_placement(server, *held);
        }
        else
        {
            held->wake_timer.expires_after(
                std::max<nanoseconds>(step.recheck_at - now, milliseconds(1)));
            co_await held->wake_timer.async_wait(as_result);
        }
    }
}

task<bool> order_controller::acquire_permit(server_id server, const owned_engine& held)
{
    auto& limits = context_.servers.limits();
    if (!limits.in_force(server))
    {
        co_return true;
    }
    auto permit = co_await context_.resources->acquire_permit(server, max_permit_wait);
    if (!permit.granted)
    {
        limits.record_next_permit(server, context_.now() + permit.wait);
        co_return false;
    }
    co_await pause(permit.valid_from - context_.now());
    instant now = context_.now();
    co_return now < permit.valid_until && !held.ended && context_.servers.find(server);
}

task<std::optional<residency_report>> order_controller::fetch_report(server_id server)
{
    const auto* known = context_.servers.find(server);
    instant asked_at = context_.now();
    std::string text = platform::encode_report_request(server, known->entry.address);
    server_exchange exchange(context_, server);
    exchange_deadline deadline(exchange, context_.executor, order_timeout);
    auto state = co_await exchange.send(
        [&] { return std::optional(outgoing_request{.head = text}); }, request_id());
    std::optional<residency_report> fetched;
    if (state == exchange_state::responded)
    {
        std::string body = co_await exchange.read_rest();
        auto report = platform::parse_server_report(body);
        if (exchange.complete() && exchange.status() == 200 && report)
        {
            fetched = *report;
        }
        else
        {
            context_.log.write("report_bad", "server={} status={} detail=\"{}\"", server.str(),
                               exchange.status(), report ? "" : report.error().detail);
        }
        exchange.finish();
    }
    context_.log.write("report", "server={} adopted={} sent={} took_ms={}", server.str(),
                       fetched.has_value(), to_text(state),
                       elapsed_ms(asked_at, context_.now()).count());
    co_return fetched;
}

task<void> order_controller::query_report(server_id server, std::shared_ptr<owned_engine> held)
{
    instant asked_at = context_.now();
    auto report = co_await fetch_report(server);
    if (!report)
    {
        co_return;
    }
    record_response(server, *held, asked_at);
    if (report->start_time_ms == 0)
    {
        report->start_time_ms = held->controller.start_time_ms();
    }
    held->controller.adopt(*report, context_.now());
}

void order_controller::record_response(const server_id& server, owned_engine& held,
                                       instant asked_at)
{
    auto it = partitions_.find(held.partition);
    if (it == partitions_.end())
    {
        return;
    }
    const auto own = claim_of(it->second);
    bool awaited = history_.awaits_response_after(server, own).has_value();
    instant now = context_.now();
    share_late_order(server, history_.record_response(server, own, asked_at, now));
    held.pending_announced = false;
    if (auto first = history_.first_order_at(server, own); awaited && first)
    {
        context_.log.write("takeover_response", "server={} fence={} took_ms={} orders_in_ms={}",
                           server.str(), own.fence.count(), elapsed_ms(asked_at, now).count(),
                           elapsed_ms(now, *first).count());
    }
}

void order_controller::share_late_order(const server_id& server, std::optional<instant> ended_at)
{
    if (!ended_at)
    {
        return;
    }
    context_.last_late_order = std::max(context_.last_late_order, ended_at);
    instant now = context_.now();
    if (now < late_order_shared_at_ + late_order_interval)
    {
        return;
    }
    late_order_shared_at_ = now;
    link_.publish_late_order();
    context_.stats.increment("banyanshunt_late_orders_expected_total");
    context_.log.write("late_order_expected", "server={} age_ms={}", server.str(),
                       elapsed_ms(*ended_at, now).count());
}

void order_controller::apply_late_order(instant at)
{
    history_.record_late_order(at);
}

task<void> order_controller::probe_engine(server_id server, std::shared_ptr<owned_engine> held)
{
    instant now = context_.now();
    auto it = partitions_.find(held->partition);
    const auto* known = context_.servers.find(server);
    if (leaving_ || it == partitions_.end() || now >= membership_until_ || now < held->probe_at ||
        !context_.servers.accepts(server, known->entry.start_time_ms, now))
    {
        co_return;
    }
    auto ask_after = history_.awaits_response_after(server, claim_of(it->second));
    if (!ask_after || now < *ask_after || !co_await acquire_permit(server, *held))
    {
        co_return;
    }
    held->probe_at = now + probe_interval;
    instant asked_at = context_.now();
    if (co_await fetch_report(server))
    {
        record_response(server, *held, asked_at);
    }
}

task<order_controller::order_outcome>
order_controller::exchange_order(server_id server, std::shared_ptr<owned_engine> held,
                                 load_order order)
{
    const auto* known = context_.servers.find(server);
    fencing_number fence = partitions_.at(held->partition).fence;
    std::string text = platform::encode_order(order, server, known->entry.address,
                                              context_.settings.name.str(), fence);
    server_exchange exchange(context_, server);
    exchange_deadline deadline(exchange, context_.executor, order_timeout);
    instant began_at = context_.now();
    order_outcome outcome;
    outcome.state = co_await exchange.send(
        [&]
        {
            instant now = context_.now();
            bool may_send = !held->ended && may_order(server, now) &&
                            partitions_.at(held->partition).fence == fence;
            if (may_send)
            {
                outcome.membership_left = elapsed_ms(now, membership_until_);
                outcome.written = elapsed_ms(began_at, now);
                partitions_.at(held->partition).used = true;
            }
            return may_send ? std::optional(outgoing_request{.head = text}) : std::nullopt;
        },
        request_id());
    if (outcome.state == exchange_state::responded)
    {
        outcome.status = exchange.status();
        co_await exchange.read_rest();
        exchange.finish();
    }
    outcome.took = elapsed_ms(began_at, context_.now());
    co_return outcome;
}

task<void> order_controller::send_order(server_id server, std::shared_ptr<owned_engine> held,
                                        load_order order)
{
    const auto own = claim_of(partitions_.at(held->partition));
    orders_in_flight_.insert(held->partition);
    order_outcome outcome;
    try
    {
        outcome = co_await exchange_order(server, held, order);
    }
    catch (...)
    {
        record_order(server, *held, order, own.fence, {});
        throw;
    }
    record_order(server, *held, order, own.fence, outcome);
    if (outcome.state == exchange_state::no_response)
    {
        co_await query_open_order(server, *held, own);
    }
}

task<void> order_controller::query_open_order(server_id server, const owned_engine& held,
                                              order_history::claim own)
{
    if (!co_await acquire_permit(server, held) || !context_.servers.find(server))
    {
        co_return;
    }
    instant asked_at = context_.now();
    if (co_await fetch_report(server))
    {
        share_late_order(server, history_.record_response(server, own, asked_at, context_.now()));
    }
}

void order_controller::record_order(const server_id& server, owned_engine& held,
                                    const load_order& order, fencing_number fence,
                                    const order_outcome& outcome)
{
    int status = outcome.status;
    auto response = status != 0 ? platform::order_response_of(status) : order_response::unknown;
    orders_in_flight_.erase(orders_in_flight_.find(held.partition));
    if (outcome.state == exchange_state::responded || outcome.state == exchange_state::no_response)
    {
        history_.record_order(server, fence, outcome.state == exchange_state::responded,
                              context_.now());
    }
    ++context_.counters.orders;
    bool loads = order.action == load_order::action_kind::load;
    int used = held.controller.requests_since_load(order.model);
    int pending = held.controller.pending_load_requests(order.model);
    context_.log.write(
        "order",
        "server={} what={} model={}{}{} expected={} fence={} sent={} status={} took_ms={} "
        "written_ms={} membership_ms={} used={} pending={}",
        server.str(), loads ? "load" : "unload", order.model.str(),
        order.adapter.empty() ? "" : "/", order.adapter.str(), order.expected_orders, fence.count(),
        to_text(outcome.state), status, outcome.took.count(), outcome.written.count(),
        outcome.membership_left.count(), used, pending);
    context_.stats.increment("banyanshunt_engine_orders_total", {{"sent", to_text(outcome.state)}});
    if (!loads && order.adapter.empty() && response == order_response::accepted)
    {
        context_.stats.increment(
            "banyanshunt_evictions_total",
            {{"used", used > 0 ? "yes" : "no"}, {"pending", pending > 0 ? "yes" : "no"}});
    }
    const engine_spec* engine = engine_of(server);
    if (engine)
    {
        held.controller.handle_response(order, response, *engine, context_.now());
    }
}

void order_controller::publish_placement(const server_id& server, owned_engine& held, bool force)
{
    const engine_spec* engine = engine_of(server);
    auto partition = partitions_.find(held.partition);
    if (!engine || partition == partitions_.end() || held.ended)
    {
        return;
    }
    auto placement = held.controller.placement(*engine, context_.now());
    placement.owner = context_.settings.name;
    placement.owner_incarnation = context_.incarnation;
    placement.fencing = partition->second.number;
    context_.servers.apply_placement(server, placement);
    if (!force && equivalent_reports(held.last_published, placement, context_.now()))
    {
        return;
    }
    held.last_published = placement;
    for (const auto& [model, it] : placement.models)
    {
        context_.waiting.wake(model.str());
    }
    link_.publish_placement(server, placement);
}

void order_controller::publish_all()
{
    for (const auto& [server, held] : owned_engines_)
    {
        instant now = context_.now();
        if (may_order(server, now))
        {
            publish_placement(server, *held, true);
        }
        else
        {
            publish_pending(server, *held, may_order_from(server, now));
        }
    }
}

void order_controller::request_load(const server_id& server, const model_target& unit,
                                    milliseconds waited)
{
    auto it = owned_engines_.find(server);
    bool owned = it != owned_engines_.end();
    const char* state = !owned                              ? "not_owner"
                        : may_order(server, context_.now()) ? "may_order"
                                                            : "takeover";
    context_.stats.increment("banyanshunt_load_requests_received_total", {{"state", state}});
    if (owned)
    {
        it->second->controller.request_load(unit, waited, context_.now());
        it->second->wake_timer.cancel();
    }
}

void order_controller::log_expired_requests(const server_id& server, owned_engine& held)
{
    for (const auto& it : held.controller.take_expired_requests())
    {
        const char* block = to_text(it.block);
        context_.stats.increment("banyanshunt_load_requests_expired_total", {{"block", block}});
        context_.log.write("load_request_expired", "server={} model={}{}{} waited_ms={} block={}",
                           server.str(), it.target.model.str(),
                           it.target.adapter.empty() ? "" : "/", it.target.adapter.str(),
                           it.waited.count(), block);
    }
}

void order_controller::record_use(const host_id& host, const server_id& server,
                                  const model_target& unit, int running, int requests)
{
    auto it = owned_engines_.find(server);
    if (it != owned_engines_.end())
    {
        it->second->controller.record_use(host, unit, running, requests, context_.now());
    }
}

task<void> order_controller::await_orders(const std::map<int, held_partition>& partitions)
{
    auto in_flight = [&]
    {
        return std::any_of(orders_in_flight_.begin(), orders_in_flight_.end(),
                           [&](int it) { return partitions.contains(it); });
    };
    for (instant until = context_.now() + order_timeout; in_flight() && context_.now() < until;)
    {
        co_await pause(order_poll_interval);
    }
}

} // namespace banyanshunt
