#include "serve/order_controller.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "coordination/rendezvous.hpp"
#include "platform/orders.hpp"
#include "platform/registry.hpp"
#include "platform/store.hpp"
#include "serve/loop_runner.hpp"
#include "serve/server_exchange.hpp"

namespace banyanshunt
{

namespace
{

/// How often per lease a member renews its membership, so that one lost call does not end it.
constexpr int joins_per_lease = 4;
constexpr milliseconds store_timeout{1000};
/// How often a host that is no member checks whether it should be one.
constexpr milliseconds membership_recheck{500};
/// After an outage hosts join one by one, and the first is assigned partitions that move on within
/// this time.
constexpr milliseconds assignment_settle_time{300};
/// The lease is shortened by this fraction (1/N) for the transit of the call and the drift between
/// two clocks.
constexpr int lease_margin_divisor = 10;
/// How long an order can be in transit: a lost packet is retransmitted after 200 ms, and the second
/// time after another 200 ms or more.
constexpr milliseconds order_transit_margin{450};
/// Added to the lease between the last order of a host that releases an engine and the first order
/// of the next owner, for the drift between their clocks.
constexpr milliseconds release_margin{150};
/// How long an order waits for a permit of an engine that states a limit, and how long until it is
/// reconsidered if none can be had in that time.
constexpr milliseconds max_permit_wait{2000};
constexpr milliseconds permit_recheck{250};
/// An engine responds to an order within milliseconds; a lost packet is retransmitted after 200 ms
/// or more.
constexpr milliseconds order_timeout{1000};

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

/// Status of an append that is to follow a record which is not the last one.
constexpr int precondition_status = 412;
/// How often a new owner reads for a late release of the owner before.
constexpr milliseconds late_release_poll{500};

milliseconds elapsed_ms(instant from, instant to)
{
    return std::chrono::floor<milliseconds>(to - from);
}

} // namespace

order_controller::order_controller(host_context& context, fleet_link link)
    : context_(context), link_(std::move(link)),
      // Stable across restarts, so that the group assigns this host the partitions it had.
      member_(context.settings.name.str()), store_(context.settings.log.address),
      membership_timer_(context.executor),
      history_(
          {.lease = lease(),
           .open_order_time = std::max(order_transit_margin + context.settings.bounds.order_delay,
                                       takeover_expiry({.lease = lease(),
                                                        .membership = terms().membership,
                                                        .transit = order_transit_margin})),
           .order_delay = order_transit_margin + context.settings.bounds.order_delay}),
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

task<void> order_controller::run_membership()
{
    while (!leaving_)
    {
        observe_engines();
        if (!should_be_member())
        {
            if (generation_ != 0)
            {
                co_await resign();
            }
            membership_timer_.expires_after(membership_recheck);
            co_await membership_timer_.async_wait(as_result);
            continue;
        }
        bool joined = co_await join();
        if (!joined)
        {
            void_claims();
        }
        publish_releases();
        if (joined != is_member_)
        {
            context_.log.write(joined ? "duty_joined" : "duty_call_failed", "generation={}",
                               generation_);
            is_member_ = joined;
        }
        update_owned_engines();
        co_await record_takeovers();
        co_await read_late_releases();
        milliseconds period = lease() / joins_per_lease;
        if (!leaving_)
        {
            membership_timer_.expires_after(!joined ? period / 3
                                            : listed_since_.empty()
                                                ? period
                                                : std::min(period, assignment_settle_time));
            co_await membership_timer_.async_wait(as_result);
        }
    }
    membership_ended_ = true;
}

std::size_t order_controller::member_count(const std::vector<known_host>& hosts) const
{
    std::size_t engines = 0;
    for (const auto& [server, known] : context_.servers.servers())
    {
        engines += !known.removed && engine_of(server) ? 1U : 0U;
    }
    std::set<domain_id> domains;
    for (const auto& host : hosts)
    {
        domains.insert(host.it.domain);
    }
    return order_member_count(engines, domains.size(),
                              static_cast<std::size_t>(context_.settings.log.partitions));
}

bool order_controller::should_be_member() const
{
    auto hosts = link_.hosts();
    return !hosts.empty() &&
           is_order_member(context_.settings.name, hosts, member_count(hosts), generation_ != 0);
}

std::map<int, order_controller::held_partition> order_controller::give_up_engines()
{
    instant next_owner_at = context_.now() + takeover_expiry(terms());
    for (const auto& [partition, held] : partitions_)
    {
        log_partition_lost(partition, held.fence, "given_up");
    }
    for (auto& [server, held] : owned_engines_)
    {
        publish_pending(server, *held, next_owner_at);
        context_.servers.remove_owner(server);
        held->ended = true;
        held->wake_timer.cancel();
    }
    // From here on this host's own requests go to the next owners.
    owned_engines_.clear();
    listed_since_.clear();
    return std::exchange(partitions_, {});
}

void order_controller::log_partition_lost(int partition, fencing_number fence, const char* reason)
{
    context_.stats.increment("banyanshunt_partitions_lost_total", {{"reason", reason}});
    context_.log.write("duty_lost", "partition={} fence={} generation={} reason={}", partition,
                       fence.count(), generation_, reason);
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

void order_controller::void_claims()
{
    if (context_.now() < membership_until_)
    {
        return;
    }
    for (const auto& [partition, held] : partitions_)
    {
        log_partition_lost(partition, held.fence, "lapsed");
        if (auto wait = release_wait(partition, held))
        {
            release_to_peers(partition, held, *wait);
        }
        former_[partition] = held;
    }
    partitions_.clear();
}

void order_controller::publish_releases()
{
    for (const auto& [partition, it] : own_releases_)
    {
        link_.publish_release(partition, it);
    }
}

void order_controller::apply_release(int partition, const peer_release& release)
{
    peer_releases_[partition] = release;
    if (auto held = partitions_.find(partition);
        held != partitions_.end() && release.last_record == held->second.base)
    {
        apply_release(partition, held->second, release.free_at, "peer");
    }
}

void order_controller::apply_release(int partition, held_partition& held, instant free_at,
                                     const char* source)
{
    bool shortens = held.taken.from_other_host || free_at < held.taken.may_order_at;
    if (!shortens || held.taken.resumed_fence)
    {
        return;
    }
    held.taken.may_order_at = std::min(held.taken.may_order_at, free_at);
    held.taken.ask_engines_after.reset();
    held.taken.from_other_host = false;
    auto wait = std::max(nanoseconds(0), held.taken.may_order_at - context_.now());
    context_.log.write("duty_late_release", "partition={} fence={} wait_ms={} source={}", partition,
                       held.fence.count(), std::chrono::ceil<milliseconds>(wait).count(), source);
}

task<void> order_controller::leave_group()
{
    auto call = platform::leave_call(member_);
    co_await store_.call(call.method, call.target, call.body, store_timeout);
}

task<void> order_controller::resign()
{
    context_.log.write("duty_resigned", "generation={} engines={}", generation_,
                       owned_engines_.size());
    generation_ = 0;
    is_member_ = false;
    co_await release(give_up_engines(), store_timeout);
    membership_until_ = {};
    co_await leave_group();
}

task<bool> order_controller::join()
{
    instant sent_at = context_.now();
    auto call = platform::join_call(member_, lease(), generation_);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (!response || response->status != 200)
    {
        co_return false;
    }
    auto assignment = platform::parse_join(response->body);
    if (!assignment)
    {
        context_.log.write("store_answer_bad", "call=join detail=\"{}\"",
                           assignment.error().detail);
        co_return false;
    }
    // After a gap in which the membership may have lapsed, earlier claims are void.
    bool lapsed = context_.now() >= membership_until_;
    bool changed = assignment->generation != generation_;
    own_releases_.clear();
    generation_ = assignment->generation;
    std::set<int> listed(assignment->partitions.begin(), assignment->partitions.end());
    std::map<int, held_partition> moved;
    for (auto it = partitions_.begin(); it != partitions_.end();)
    {
        if (!lapsed && listed.contains(it->first))
        {
            it->second.confirmed = it->second.confirmed && !changed;
            ++it;
            continue;
        }
        log_partition_lost(it->first, it->second.fence, lapsed ? "lapsed" : "moved");
        if (!lapsed)
        {
            moved.insert(*it);
        }
        former_[it->first] = it->second;
        it = partitions_.erase(it);
    }
    membership_until_ = sent_at + terms().membership;
    std::erase_if(listed_since_, [&](const auto& it)
                  { return !listed.contains(it.first) || partitions_.contains(it.first); });
    co_await confirm_claims();
    for (int partition : listed)
    {
        if (!partitions_.contains(partition) && is_settled(partition, context_.now()))
        {
            co_await claim(partition);
        }
    }
    // The group assigns them to others only after this host's next call.
    co_await release(std::move(moved), store_timeout);
    co_return true;
}

task<void> order_controller::release(std::map<int, held_partition> partitions, milliseconds timeout)
{
    co_await await_orders(partitions);
    bool store_responds = true;
    for (const auto& [partition, held] : partitions)
    {
        auto wait = release_wait(partition, held);
        // Another host may own the partition, or an engine may read an order at any time. Calls to
        // a store that does not respond would delay the next one to the group.
        const char* kept_back = !wait                                 ? "old_orders"
                                : context_.now() >= membership_until_ ? "lapsed"
                                : !store_responds                     ? "store_silent"
                                                                      : nullptr;
        if (kept_back)
        {
            context_.log.write("duty_not_released", "partition={} reason={}", partition, kept_back);
        }
        else
        {
            store_responds = co_await append_release(partition, held, *wait, timeout);
        }
        if (wait && (kept_back || !store_responds))
        {
            release_to_peers(partition, held, *wait);
        }
    }
}

void order_controller::release_to_peers(int partition, const held_partition& held,
                                        milliseconds wait)
{
    if (is_unused(held))
    {
        // It cannot speak for the owner before.
        return;
    }
    auto& it = own_releases_[partition];
    it = {.last_record = held.last_record, .free_at = context_.now() + wait};
    link_.publish_release(partition, it);
}

task<bool> order_controller::append_release(int partition, const held_partition& held,
                                            milliseconds wait, milliseconds timeout)
{
    assignment_record record{.holder = context_.settings.name,
                             .released_for = wait,
                             .unused_since = is_unused(held) ? held.base : std::nullopt};
    auto call = platform::assignment_append_call(partition, to_text(record), held.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, timeout);
    if (response && response->status == precondition_status)
    {
        // Another host has claimed the partition and reads what follows, or a record of this host
        // was appended without a response.
        auto after = co_await read_records(partition, held);
        auto last = after ? after->last_before_claim : held.last_record;
        bool late = !after || after->superseded;
        if (late && is_unused(held))
        {
            // It cannot speak for the owner before, and the next owner waits in full.
            co_return true;
        }
        record.released_after = late ? std::optional(last) : std::nullopt;
        call = platform::assignment_append_call(partition, to_text(record),
                                                late ? std::nullopt : std::optional(last));
        response = co_await store_.call(call.method, call.target, call.body, timeout);
    }
    context_.log.write("duty_released", "partition={} wait_ms={} status={} late={}", partition,
                       wait.count(), response ? response->status : 0,
                       record.released_after.has_value());
    co_return response && response->status == 200;
}

fencing_number order_controller::announced_number(const held_partition& it)
{
    return fencing_number(it.claim.count() + 1);
}

bool order_controller::is_unused(const held_partition& it)
{
    return it.taken.from_other_host && !it.used;
}

std::optional<milliseconds> order_controller::release_wait(int partition,
                                                           const held_partition& it) const
{
    if (is_unused(it))
    {
        return takeover_expiry(terms());
    }
    auto in_partition = [&](const server_id& server) { return partition_of(server) == partition; };
    auto free_at = history_.free_at({.taken = it.taken, .fence = it.fence}, in_partition);
    if (!free_at || orders_in_flight_.contains(partition))
    {
        return std::nullopt;
    }
    return release_delay(it.taken.last_order_at, *free_at, lease(), context_.now()) +
           release_margin;
}

bool order_controller::is_settled(int partition, instant now)
{
    auto since = listed_since_.try_emplace(partition, now).first->second;
    return now - since >= assignment_settle_time;
}

task<void> order_controller::record_takeovers()
{
    // Repeated before the record expires, so that a host that restarts finds its own.
    const milliseconds retention = context_.settings.log.retention;
    std::vector<int> due;
    for (const auto& [partition, it] : partitions_)
    {
        instant now = context_.now();
        bool is_due = it.recorded_at
                          ? retention.count() > 0 && now - *it.recorded_at > retention / 2
                          : now >= it.taken.may_order_at && is_settled(partition, it);
        if (is_due)
        {
            due.push_back(partition);
        }
    }
    for (int partition : due)
    {
        if (partitions_.contains(partition) && context_.now() < membership_until_)
        {
            co_await record_takeover(partition);
        }
    }
}

task<void> order_controller::record_takeover(int partition)
{
    auto& before = partitions_.at(partition);
    // If this call fails, the next claim after a restart waits as any other host's would.
    before.recorded_at = context_.now();
    const held_partition copy = before;
    const log_offset at(copy.last_record.count() + 1);
    assignment_record record{.holder = context_.settings.name,
                             .takeover_complete = true,
                             .fence = copy.fence,
                             .machine = claimant_of_settings().machine};
    auto call = platform::assignment_append_call(partition, to_text(record), copy.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    int status = response ? response->status : 0;
    if (status != 200)
    {
        context_.log.write("duty_turn_untold", "partition={} status={}", partition, status);
    }
    auto after =
        status == precondition_status ? co_await read_records(partition, copy) : std::nullopt;
    // The partition may have been lost and claimed anew during the calls.
    auto held = partitions_.find(partition);
    if (held == partitions_.end() || held->second.claim != copy.claim)
    {
        co_return;
    }
    if (status == 200)
    {
        held->second.last_record = at;
    }
    else if (after && !after->superseded)
    {
        apply_records(partition, copy, *after);
        held->second.recorded_at.reset();
    }
    else if (status == precondition_status)
    {
        give_up_superseded(partition);
    }
}

void order_controller::give_up_superseded(int partition)
{
    // A later claim has a higher fencing number. If the group still lists the partition, this host
    // claims it anew.
    log_partition_lost(partition, partitions_.at(partition).fence, "superseded");
    partitions_.erase(partition);
    update_owned_engines();
}

task<std::optional<records_after_claim>> order_controller::read_records(int partition,
                                                                        const held_partition& it)
{
    const log_offset from(it.last_record.count() + 1);
    auto call = platform::assignment_read_call(partition, from);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (response && response->status == platform::expired_status)
    {
        // Records followed the last one of this host, and were dropped since.
        co_return records_after_claim{
            .superseded = true, .last = it.last_record, .last_before_claim = it.last_record};
    }
    if (!response || response->status != 200)
    {
        co_return std::nullopt;
    }
    co_return read_after_claim(platform::parse_assignment_records(response->body), from,
                               context_.settings.name, log_offset(it.claim.count() - 1));
}

task<void> order_controller::confirm_claims()
{
    std::vector<int> unconfirmed;
    for (const auto& [partition, it] : partitions_)
    {
        if (!it.confirmed)
        {
            unconfirmed.push_back(partition);
        }
    }
    for (int partition : unconfirmed)
    {
        auto held = partitions_.find(partition);
        if (held == partitions_.end())
        {
            continue;
        }
        const held_partition copy = held->second;
        auto after = co_await read_records(partition, copy);
        // The next call to the group must not wait for a store that does not respond.
        if (!after || leaving_ || context_.now() + lease() / 2 > membership_until_)
        {
            co_return;
        }
        apply_records(partition, copy, *after);
        held = partitions_.find(partition);
        if (held != partitions_.end() && held->second.claim == copy.claim)
        {
            held->second.confirmed = true;
        }
    }
}

task<void> order_controller::read_late_releases()
{
    std::vector<int> waiting;
    for (const auto& [partition, it] : partitions_)
    {
        // The owner before learns of the claim while its membership lasts, and then releases.
        bool may_be_released = it.taken.from_other_host &&
                               context_.now() < it.taken.claimed_at + 2 * terms().membership;
        if (may_be_released && context_.now() >= it.read_at)
        {
            waiting.push_back(partition);
        }
    }
    for (int partition : waiting)
    {
        auto held = partitions_.find(partition);
        // Calls that take long must not delay the next one to the group.
        if (held == partitions_.end() || context_.now() + lease() / 2 > membership_until_)
        {
            continue;
        }
        const held_partition copy = held->second;
        held->second.read_at = context_.now() + late_release_poll;
        auto after = co_await read_records(partition, copy);
        if (after)
        {
            apply_records(partition, copy, *after);
        }
    }
}

void order_controller::apply_records(int partition, const held_partition& read_for,
                                     const records_after_claim& after)
{
    // The partition may have been lost and claimed anew during the call.
    auto held = partitions_.find(partition);
    if (held == partitions_.end() || held->second.claim != read_for.claim)
    {
        return;
    }
    if (after.superseded)
    {
        give_up_superseded(partition);
        return;
    }
    held->second.last_record = after.last;
    if (after.released_for)
    {
        apply_release(partition, held->second, context_.now() + *after.released_for, "log");
    }
}

task<void> order_controller::claim(int partition)
{
    instant claimed_at = context_.now();
    if (claimed_at >= membership_until_)
    {
        co_return;
    }
    assignment_record record{.holder = context_.settings.name};
    auto call = platform::assignment_append_call(partition, to_text(record), std::nullopt);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (!response || response->status != 200)
    {
        co_return;
    }
    auto offset = platform::parse_append(response->body);
    if (!offset)
    {
        context_.log.write("store_answer_bad", "call=append detail=\"{}\"", offset.error().detail);
        co_return;
    }
    auto previous = co_await read_record_before(partition, *offset);
    if (previous && previous->unused_since)
    {
        // The owner in between gave no order, so the one before it may be this host.
        auto base =
            co_await read_record_before(partition, log_offset(previous->unused_since->count() + 1));
        previous = completed_by(claimant_of_settings(), base) ? base : previous;
    }
    take_partition(partition, {.own = claimant_of_settings(),
                               .at = *offset,
                               .before = std::move(previous),
                               .sent_at = claimed_at,
                               .read_at = context_.now()});
}

claimant order_controller::claimant_of_settings() const
{
    return {.host = context_.settings.name, .machine = machine_id(context_.settings.ip)};
}

task<std::optional<assignment_record>> order_controller::read_record_before(int partition,
                                                                            log_offset at)
{
    if (at.count() == 0)
    {
        co_return std::nullopt;
    }
    auto call = platform::assignment_read_call(partition, log_offset(at.count() - 1));
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    auto records = response && response->status == 200
                       ? platform::parse_assignment_records(response->body)
                       : std::vector<std::string>();
    co_return records.empty() ? std::nullopt : parse_assignment_record(records.front());
}

void order_controller::take_partition(int partition, const assignment_claim& claim)
{
    instant now = claim.read_at;
    const auto& previous = claim.before;
    if (now >= membership_until_)
    {
        // The group may have assigned the partition to another host since.
        context_.log.write("duty_claim_dropped", "partition={} fence={} generation={} claim_ms={}",
                           partition, claim.at.count() + 1, generation_,
                           elapsed_ms(claim.sent_at, now).count());
        return;
    }
    auto taken = take_over(claim, terms());
    auto former = former_.find(partition);
    if (taken.resumed_fence && former != former_.end() &&
        former->second.fence == *taken.resumed_fence)
    {
        // This process knows all orders under that number.
        taken.last_order_at = former->second.taken.last_order_at;
        taken.ask_engines_after = former->second.taken.ask_engines_after;
    }
    // Offsets grow with each claim, so a later owner has a higher fencing number.
    fencing_number fence = taken.resumed_fence.value_or(fencing_number(claim.at.count() + 1));
    auto& held = partitions_[partition];
    held = {.fence = fence,
            .claim = claim.at,
            .taken = taken,
            .last_record = claim.at,
            .base = previous && previous->unused_since ? previous->unused_since
                    : claim.at.count() > 0 ? std::optional(log_offset(claim.at.count() - 1))
                                           : std::nullopt,
            .used = taken.resumed_fence.has_value()};
    if (auto it = peer_releases_.find(partition);
        it != peer_releases_.end() && it->second.last_record == held.base)
    {
        apply_release(partition, held, it->second.free_at, "peer");
    }
    listed_since_.erase(partition);
    auto wait = std::chrono::ceil<milliseconds>(std::max(taken.may_order_at - now, nanoseconds(0)));
    context_.log.write("duty_taken",
                       "partition={} fence={} generation={} before={} kind={} wait_ms={} "
                       "claim_ms={} membership_ms={}",
                       partition, fence.count(), generation_,
                       previous ? previous->holder.str() : "-",
                       claim.at.count() == 0         ? "first"
                       : !previous                   ? "unreadable"
                       : previous->released_after    ? "late_release"
                       : previous->released_for      ? "released"
                       : previous->takeover_complete ? "complete"
                                                     : "claim",
                       wait.count(), elapsed_ms(claim.sent_at, now).count(),
                       elapsed_ms(now, membership_until_).count());
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

bool order_controller::is_settled(int partition, const held_partition& it) const
{
    return history_.is_settled(
        {.taken = it.taken, .fence = it.fence},
        [&](const server_id& server) { return partition_of(server) == partition; }, context_.now());
}

bool order_controller::may_order(const server_id& server, instant now) const
{
    auto it = partitions_.find(partition_of(server));
    if (leaving_ || it == partitions_.end() || !it->second.confirmed || now >= membership_until_)
    {
        return false;
    }
    auto first =
        history_.first_order_at(server, {.taken = it->second.taken, .fence = it->second.fence});
    return first && now >= *first;
}

instant order_controller::may_order_from(const server_id& server, instant now) const
{
    auto it = partitions_.find(partition_of(server));
    if (leaving_ || it == partitions_.end() || now >= membership_until_)
    {
        return now + takeover_expiry(terms());
    }
    return history_.first_order_at(server, {.taken = it->second.taken, .fence = it->second.fence})
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
                       .fencing = announced_number(partition->second),
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
    order_history::claim own{.taken = it->second.taken, .fence = it->second.fence};
    bool awaited = history_.awaits_response_after(server, own).has_value();
    instant now = context_.now();
    history_.record_response(server, own, asked_at, now);
    held.pending_announced = false;
    if (auto first = history_.first_order_at(server, own); awaited && first)
    {
        context_.log.write("takeover_response", "server={} fence={} took_ms={} orders_in_ms={}",
                           server.str(), own.fence.count(), elapsed_ms(asked_at, now).count(),
                           elapsed_ms(now, *first).count());
    }
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
    auto ask_after = history_.awaits_response_after(
        server, {.taken = it->second.taken, .fence = it->second.fence});
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
    std::string text = platform::encode_order(order, server, known->entry.address, member_, fence);
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
    fencing_number fence = partitions_.at(held->partition).fence;
    orders_in_flight_.insert(held->partition);
    order_outcome outcome;
    try
    {
        outcome = co_await exchange_order(server, held, order);
    }
    catch (...)
    {
        record_order(server, *held, order, fence, {});
        throw;
    }
    record_order(server, *held, order, fence, outcome);
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
    placement.fencing = announced_number(partition->second);
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

task<void> order_controller::leave()
{
    leaving_ = true;
    auto held = give_up_engines();
    membership_timer_.cancel();
    while (!membership_ended_)
    {
        co_await pause(milliseconds(5));
    }
    // A call to the group that was in flight may have claimed more.
    held.merge(give_up_engines());
    co_await release(std::move(held), store_timeout);
    if (generation_ != 0)
    {
        co_await leave_group();
    }
}

} // namespace banyanshunt
