#include "serve/order_controller.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "coordination/assignment_record.hpp"
#include "coordination/rendezvous.hpp"
#include "platform/orders.hpp"
#include "platform/registry.hpp"
#include "platform/store.hpp"
#include "serve/server_exchange.hpp"

namespace banyanshunt
{

namespace
{

/// How often in a lease a member tells the store that it lives, so that one lost call ends nothing.
constexpr int joins_in_lease = 4;
constexpr milliseconds store_timeout{1000};
/// After an outage hosts join one by one, and the first gets duties that move on within this time.
constexpr milliseconds settle_time{300};
/// The part of a lease that is taken off for the way of the call and the drift of two clocks.
constexpr int lease_margin_part = 10;
/// Added to the lease and a period of calls before a new holder orders: the one before may learn of
/// its loss only at its next call, and its last order may be on its way.
constexpr milliseconds order_way{450};
/// An engine answers an order in milliseconds; a lost packet is sent again after 200 ms or more.
constexpr milliseconds order_timeout{1000};

} // namespace

order_controller::order_controller(host_context& core, publisher tell)
    : core_(core), tell_(std::move(tell)),
      // The same after a restart, so that the group deals this host what it had.
      member_(core.settings.name.str()), link_(core.settings.log.address),
      store_loads_at_(core.now())
{
}

milliseconds order_controller::lease() const
{
    return std::max(core_.settings.bounds.lease, core_.settings.log.min_lease);
}

void order_controller::start()
{
    asio::co_spawn(core_.executor, keep_membership(), asio::detached);
}

task<void> order_controller::keep_membership()
{
    while (!leaving_)
    {
        bool joined = co_await join();
        if (joined != member_now_)
        {
            core_.log.write(joined ? "duty_joined" : "duty_call_failed", "generation={}",
                            generation_);
            member_now_ = joined;
        }
        match_servers();
        co_await tell_turns();
        milliseconds period = lease() / joins_in_lease;
        co_await pause(!joined                 ? period / 3
                       : listed_since_.empty() ? period
                                               : std::min(period, settle_time));
    }
}

task<bool> order_controller::join()
{
    instant asked = core_.now();
    auto call = platform::join_call(member_, lease(), generation_);
    auto answer = co_await link_.call(call.method, call.target, call.body, store_timeout);
    if (!answer || answer->status != 200)
    {
        co_return false;
    }
    auto share = platform::parse_join(answer->body);
    if (!share)
    {
        core_.log.write("store_answer_bad", "call=join detail=\"{}\"", share.error().detail);
        co_return false;
    }
    // Behind a gap in which the membership may have lapsed, nothing held before counts.
    bool lapsed = core_.now() >= held_until_;
    generation_ = share->generation;
    std::set<int> listed(share->partitions.begin(), share->partitions.end());
    std::erase_if(partitions_,
                  [&](const auto& it) { return lapsed || !listed.contains(it.first); });
    held_until_ = asked + lease() - lease() / lease_margin_part;
    std::erase_if(listed_since_, [&](const auto& it)
                  { return !listed.contains(it.first) || partitions_.contains(it.first); });
    for (int partition : listed)
    {
        if (!partitions_.contains(partition) && settled(partition, core_.now()))
        {
            co_await claim(partition);
        }
    }
    co_return true;
}

bool order_controller::settled(int partition, instant now)
{
    auto since = listed_since_.try_emplace(partition, now).first->second;
    return now - since >= settle_time;
}

task<void> order_controller::tell_turns()
{
    std::vector<int> begun;
    for (const auto& [partition, it] : partitions_)
    {
        if (!it.turn_told && core_.now() >= it.may_order_at)
        {
            begun.push_back(partition);
        }
    }
    for (int partition : begun)
    {
        auto held = partitions_.find(partition);
        if (held == partitions_.end())
        {
            continue;
        }
        // If it fails, the next claim after a restart waits as any other host's would.
        held->second.turn_told = true;
        assignment_record record{.holder = core_.settings.name, .takeover_complete = true};
        auto call =
            platform::assignment_append_call(partition, to_text(record), held->second.claim);
        auto answer = co_await link_.call(call.method, call.target, call.body, store_timeout);
        if (!answer || answer->status != 200)
        {
            core_.log.write("duty_turn_untold", "partition={} status={}", partition,
                            answer ? answer->status : 0);
        }
    }
}

task<void> order_controller::claim(int partition)
{
    instant taken = core_.now();
    assignment_record record{.holder = core_.settings.name};
    auto call = platform::assignment_append_call(partition, to_text(record), std::nullopt);
    auto answer = co_await link_.call(call.method, call.target, call.body, store_timeout);
    if (!answer || answer->status != 200)
    {
        co_return;
    }
    auto offset = platform::parse_append(answer->body);
    if (!offset)
    {
        core_.log.write("store_answer_bad", "call=append detail=\"{}\"", offset.error().detail);
        co_return;
    }
    bool first = offset->count() == 0;
    std::optional<assignment_record> before;
    if (!first)
    {
        auto read = platform::assignment_read_call(partition, log_offset(offset->count() - 1));
        auto page = co_await link_.call(read.method, read.target, read.body, store_timeout);
        auto text = page && page->status == 200 ? platform::parse_assignment_record(page->body)
                                                : std::nullopt;
        before = text ? parse_assignment_record(*text) : std::nullopt;
    }
    auto wait = takeover_delay(first, before, core_.settings.name,
                               lease() + lease() / joins_in_lease + order_way);
    // Offsets grow with each claim, so the fencing number of a later holder is higher.
    fencing_number fence(offset->count() + 1);
    partitions_[partition] = {.fence = fence, .claim = *offset, .may_order_at = taken + wait};
    listed_since_.erase(partition);
    core_.log.write("duty_taken", "partition={} fence={} generation={} before={} wait_ms={}",
                    partition, fence.count(), generation_, before ? before->holder.str() : "-",
                    wait.count());
}

int order_controller::partition_of(const server_id& server) const
{
    auto weight = rendezvous_weight("partition", server.str());
    return static_cast<int>(weight % static_cast<std::uint64_t>(core_.settings.log.partitions));
}

const engine_spec* order_controller::engine_of(const server_id& server) const
{
    const auto* known = core_.servers.find(server);
    if (!known || !core_.config)
    {
        return nullptr;
    }
    const auto* service = core_.config->find_service(known->entry.service);
    return service && service->engine ? &*service->engine : nullptr;
}

void order_controller::match_servers()
{
    for (auto it = duties_.begin(); it != duties_.end();)
    {
        const auto* known = core_.servers.find(it->first);
        bool keep = known && !known->removed && partitions_.contains(it->second->partition);
        if (!keep)
        {
            it->second->ended = true;
            it->second->poke.cancel();
            it = duties_.erase(it);
        }
        else
        {
            ++it;
        }
    }
    for (const auto& [server, known] : core_.servers.servers())
    {
        int partition = partition_of(server);
        if (duties_.contains(server) || known.removed || !partitions_.contains(partition) ||
            !engine_of(server))
        {
            continue;
        }
        auto held = std::make_shared<held_duty>(held_duty{
            .duty = engine_controller(known.entry, engine_controller_options{}, core_.now()),
            .partition = partition,
            .poke = asio::steady_timer(core_.executor),
            .last_told = {}});
        duties_.emplace(server, held);
        asio::co_spawn(core_.executor, run_server(server, held), asio::detached);
    }
}

bool order_controller::may_order(int partition, instant now) const
{
    auto it = partitions_.find(partition);
    return !leaving_ && it != partitions_.end() && now < held_until_ &&
           now >= it->second.may_order_at;
}

bool order_controller::take_store_load(const engine_spec& engine)
{
    if (core_.servers.active_store_loads(core_.now()) >= core_.servers.options().max_store_loads)
    {
        return false;
    }
    // Each host that orders may begin one load at once; the rest of the bound comes as a rate.
    const auto& bounds = core_.settings.bounds;
    double window_s = std::chrono::duration<double>(bounds.load_window).count();
    double allowed = engine.store_loads_per_s * window_s * bounds.load_rate_factor + 3;
    double all = core_.settings.log.partitions;
    double owners = std::min(all, static_cast<double>(core_.host_count));
    double fleet_rate = std::max(0.2 * engine.store_loads_per_s, (allowed - owners - 1) / window_s);
    double own_part = static_cast<double>(partitions_.size()) / all;
    instant now = core_.now();
    std::chrono::duration<double> passed = now - store_loads_at_;
    store_loads_at_ = now;
    store_loads_ = std::min(1.0, store_loads_ + passed.count() * fleet_rate * own_part);
    if (store_loads_ < 1)
    {
        return false;
    }
    store_loads_ -= 1;
    return true;
}

task<void> order_controller::run_server(server_id server, std::shared_ptr<held_duty> held)
{
    while (!held->ended)
    {
        const auto* known = core_.servers.find(server);
        const engine_spec* engine = engine_of(server);
        instant now = core_.now();
        if (!known || !engine || !may_order(held->partition, now))
        {
            held->told = false;
            co_await pause(milliseconds(100));
            continue;
        }
        if (!held->told)
        {
            // From now on the others tell this host how they use the server.
            held->told = true;
            held->duty = engine_controller(known->entry, engine_controller_options{}, now);
            tell(server, *held);
        }
        held->duty.update(known->entry, now);
        auto step =
            held->duty.decide(*engine,
                              {.count_other_replicas = [&](const model_id& model)
                               { return core_.servers.count_other_replicas(server, model, now); },
                               .available_elsewhere = [&](const model_id& model)
                               { return core_.servers.available_elsewhere(server, model, now); },
                               .acquire_store_load = [&] { return take_store_load(*engine); }},
                              now);
        if (step.action == engine_controller::step::action_kind::query_report)
        {
            co_await ask_report(server, held);
            tell(server, *held);
        }
        else if (step.action == engine_controller::step::action_kind::order)
        {
            co_await give_order(server, held, step.order);
            tell(server, *held);
        }
        else
        {
            held->poke.expires_after(std::max<nanoseconds>(step.recheck_at - now, milliseconds(1)));
            co_await held->poke.async_wait(as_result);
        }
    }
}

task<void> order_controller::ask_report(server_id server, std::shared_ptr<held_duty> held)
{
    const auto* known = core_.servers.find(server);
    std::string text = platform::encode_report_request(server, known->entry.address);
    server_exchange exchange(core_, server);
    exchange_deadline deadline(exchange, core_.executor, order_timeout);
    auto state = co_await exchange.send(std::move(text), request_id(), [] { return true; });
    bool adopted = false;
    if (state == exchange_state::responded)
    {
        std::string body = co_await exchange.read_rest();
        auto report = platform::parse_server_report(body);
        if (exchange.complete() && exchange.status() == 200 && report)
        {
            if (report->start_time_ms == 0)
            {
                report->start_time_ms = held->duty.start_time_ms();
            }
            held->duty.adopt(*report, core_.now());
            adopted = true;
        }
        else
        {
            core_.log.write("report_bad", "server={} status={} detail=\"{}\"", server.str(),
                            exchange.status(), report ? "" : report.error().detail);
        }
        exchange.finish();
    }
    core_.log.write("report", "server={} adopted={}", server.str(), adopted);
}

task<void> order_controller::give_order(server_id server, std::shared_ptr<held_duty> held,
                                        engine_order order)
{
    const auto* known = core_.servers.find(server);
    fencing_number fence = partitions_.at(held->partition).fence;
    std::string text = platform::encode_order(order, server, known->entry.address, member_, fence);
    server_exchange exchange(core_, server);
    exchange_deadline deadline(exchange, core_.executor, order_timeout);
    auto state = co_await exchange.send(
        std::move(text), request_id(),
        [&] { return !held->ended && may_order(held->partition, core_.now()); });
    auto answer = order_response::unknown;
    int status = 0;
    if (state == exchange_state::responded)
    {
        status = exchange.status();
        answer = platform::order_response_of(status);
        co_await exchange.read_rest();
        exchange.finish();
    }
    ++core_.counters.orders;
    core_.log.write("order", "server={} what={} model={}{}{} expected={} fence={} status={}",
                    server.str(),
                    order.action == engine_order::action_kind::load ? "load" : "unload",
                    order.model.str(), order.adapter.empty() ? "" : "/", order.adapter.str(),
                    order.expected_orders, fence.count(), status);
    const engine_spec* engine = engine_of(server);
    if (engine)
    {
        held->duty.handle_response(order, answer, *engine, core_.now());
    }
}

void order_controller::tell(const server_id& server, held_duty& held, bool again)
{
    const engine_spec* engine = engine_of(server);
    auto partition = partitions_.find(held.partition);
    if (!engine || partition == partitions_.end() || held.ended)
    {
        return;
    }
    auto placement = held.duty.placement(*engine, core_.now());
    placement.owner = core_.settings.name;
    placement.fencing = partition->second.fence;
    core_.servers.apply_placement(server, placement);
    if (!again && equivalent_reports(held.last_told, placement, core_.now()))
    {
        return;
    }
    held.last_told = placement;
    for (const auto& [model, it] : placement.models)
    {
        core_.waiting.wake(model.str());
    }
    tell_(server, placement);
}

void order_controller::publish_all()
{
    for (const auto& [server, held] : duties_)
    {
        if (may_order(held->partition, core_.now()))
        {
            tell(server, *held, true);
        }
    }
}

void order_controller::request_load(const server_id& server, const model_target& unit,
                                    milliseconds waited)
{
    auto it = duties_.find(server);
    if (it != duties_.end())
    {
        it->second->duty.request_load(unit, waited, core_.now());
        it->second->poke.cancel();
    }
}

void order_controller::record_use(const host_id& host, const server_id& server,
                                  const model_target& unit, int running, int asked)
{
    auto it = duties_.find(server);
    if (it != duties_.end())
    {
        it->second->duty.record_use(host, unit, running, asked, core_.now());
    }
}

task<void> order_controller::leave()
{
    leaving_ = true;
    for (auto& [server, held] : duties_)
    {
        held->ended = true;
        held->poke.cancel();
    }
    auto call = platform::leave_call(member_);
    co_await link_.call(call.method, call.target, call.body, store_timeout);
}

} // namespace banyanshunt
