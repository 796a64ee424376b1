/// \file
/// The part of `order_controller` that holds engines: its membership of the group, and the claims
/// and releases of partitions in the log.

#include "serve/order_controller.hpp"

#include <algorithm>
#include <utility>

#include "platform/store.hpp"
#include "serve/loop_runner.hpp"
#include "state/elapsed_time.hpp"

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
/// Added to the lease between the last order of a host that releases an engine and the first order
/// of the next owner, for the drift between their clocks.
constexpr milliseconds release_margin{150};
/// Status of an append that is to follow a record which is not the last one.
constexpr int precondition_status = 412;
/// How often a new owner reads for a late release of the owner before.
constexpr milliseconds late_release_poll{500};
/// How many records that may hide a stated number a host passes over in search of it.
constexpr int max_hiding_records = 8;

} // namespace

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
        log_partition_lost(partition, held, "given_up");
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

void order_controller::log_partition_lost(int partition, const held_partition& held,
                                          const char* reason)
{
    context_.stats.increment("banyanshunt_partitions_lost_total", {{"reason", reason}});
    context_.log.write("duty_lost",
                       "partition={} fence={} number={} known={} generation={} reason={}",
                       partition, held.fence.count(), held.number.count(),
                       known_numbers_[partition].count(), generation_, reason);
}

void order_controller::void_claims()
{
    if (context_.now() < membership_until_)
    {
        return;
    }
    for (const auto& [partition, held] : partitions_)
    {
        log_partition_lost(partition, held, "lapsed");
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
    // The owner before knows which of its orders may be carried out late.
    held.taken.may_order_at =
        std::min(held.taken.late_orders_end.value_or(held.taken.may_order_at), free_at);
    held.taken.late_orders_end.reset();
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
        bool is_listed = !lapsed && listed.contains(it->first);
        // The other hosts follow the owner with the highest number.
        bool outnumbered = known_numbers_[it->first] > it->second.number;
        if (is_listed && !outnumbered)
        {
            it->second.confirmed = it->second.confirmed && !changed;
            ++it;
            continue;
        }
        log_partition_lost(it->first, it->second,
                           lapsed      ? "lapsed"
                           : is_listed ? "outnumbered"
                                       : "moved");
        if (!lapsed && !is_listed)
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
    bool has_claimed = false;
    for (int partition : listed)
    {
        // The next call to the group must not wait for many claims that take long.
        bool has_time = !has_claimed || context_.now() + lease() / 2 < membership_until_;
        if (!partitions_.contains(partition) && is_settled(partition, context_.now()) && has_time)
        {
            has_claimed = true;
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
                             .unused_since = is_unused(held) ? held.base : std::nullopt,
                             .claim_number = stated_number(held)};
    auto call = platform::assignment_append_call(partition, to_text(record), held.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, timeout);
    if (response && response->status == precondition_status)
    {
        // Another host has claimed the partition and reads what follows, or a record of this host
        // was appended without a response.
        auto after = co_await read_records(partition, held);
        auto last = after ? after->last_before_claim : held.last_record;
        bool late = !after || after->superseded || after->ends_before;
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

std::optional<fencing_number> order_controller::stated_number(const held_partition& it)
{
    return it.number.count() > it.claim.count() + 1 ? std::optional(it.number) : std::nullopt;
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
        return it.base ? std::optional(takeover_expiry(terms())) : std::nullopt;
    }
    auto in_partition = [&](const server_id& server) { return partition_of(server) == partition; };
    auto free_at = history_.free_at(claim_of(it), in_partition);
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
                             .machine = claimant_of_settings().machine,
                             .claim_number = stated_number(copy)};
    auto call = platform::assignment_append_call(partition, to_text(record), copy.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    int status = response ? response->status : 0;
    if (status != 200)
    {
        context_.log.write("duty_turn_untold", "partition={} status={}", partition, status);
    }
    auto after =
        status == precondition_status ? co_await read_records(partition, copy) : std::nullopt;
    bool is_own = after && !after->superseded && !after->ends_before;
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
    else if (is_own)
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
    log_partition_lost(partition, partitions_.at(partition), "superseded");
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
    if (!platform::reaches(response->body, from))
    {
        // The log went back, or the response is of an earlier time: it shows nothing.
        context_.log.write("duty_read_refused", "partition={} offset={}", partition, from.count());
        co_return records_after_claim{
            .last = it.last_record, .last_before_claim = it.last_record, .ends_before = true};
    }
    co_return read_after_claim(platform::parse_assignment_records(response->body), from,
                               claimant_of_settings(),
                               it.base.value_or(log_offset(it.claim.count() - 1)));
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
        if (after->ends_before)
        {
            co_await confirm_by_record(partition);
            continue;
        }
        apply_records(partition, copy, *after);
        held = partitions_.find(partition);
        if (held != partitions_.end() && held->second.claim == copy.claim)
        {
            held->second.confirmed = true;
        }
    }
}

task<void> order_controller::confirm_by_record(int partition)
{
    const held_partition before = partitions_.at(partition);
    std::optional<log_offset> claimed_at;
    if (before.recorded_at)
    {
        co_await record_takeover(partition);
    }
    else
    {
        claimed_at = co_await append_claim(partition, stated_number(before), before.last_record);
    }
    auto held = partitions_.find(partition);
    if (held == partitions_.end() || held->second.claim != before.claim)
    {
        co_return;
    }
    if (!before.recorded_at && !claimed_at)
    {
        give_up_superseded(partition);
        co_return;
    }
    auto& last = held->second.last_record;
    last = claimed_at.value_or(last);
    held->second.confirmed = last > before.last_record;
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
    if (after.ends_before)
    {
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
    const auto highest_known = known_numbers_[partition];
    auto offset = co_await append_claim(partition, std::nullopt, std::nullopt);
    if (!offset)
    {
        co_return;
    }
    auto [read, previous] = co_await read_record_before(partition, *offset);
    auto highest_stated = co_await read_stated_number(partition, *offset, previous);
    assignment_claim it{.own = claimant_of_settings(),
                        .at = *offset,
                        .before = previous,
                        .read = read,
                        .highest_stated = highest_stated,
                        .highest_known = highest_known,
                        .sent_at = claimed_at,
                        .read_at = context_.now()};
    std::optional<log_offset> stated_at;
    auto number = number_to_state(it);
    if (number)
    {
        context_.stats.increment("banyanshunt_claim_numbers_stated_total");
        context_.log.write("duty_number_stated", "partition={} number={} offset={} known={}",
                           partition, number->count(), offset->count(), highest_known.count());
        // Directly behind the claim, so that no other host states the same number.
        stated_at = co_await append_claim(partition, number, *offset);
        if (!stated_at)
        {
            co_return;
        }
    }
    if (previous && previous->unused_since)
    {
        // The owner in between gave no order, so the one before it may be this host.
        auto base =
            co_await read_record_before(partition, log_offset(previous->unused_since->count() + 1));
        if (completed_by(it.own, base.record))
        {
            it.before = std::move(base.record);
        }
    }
    it.read_at = context_.now();
    take_partition(partition, it, stated_at ? *stated_at : *offset, number);
}

task<std::optional<log_offset>> order_controller::append_claim(int partition,
                                                               std::optional<fencing_number> number,
                                                               std::optional<log_offset> after)
{
    assignment_record record{.holder = context_.settings.name, .claim_number = number};
    auto call = platform::assignment_append_call(partition, to_text(record), after);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (!response || response->status != 200)
    {
        co_return std::nullopt;
    }
    auto offset = platform::parse_append(response->body);
    if (!offset)
    {
        context_.log.write("store_answer_bad", "call=append detail=\"{}\"", offset.error().detail);
        co_return std::nullopt;
    }
    co_return *offset;
}

task<fencing_number> order_controller::read_stated_number(int partition, log_offset at,
                                                          std::optional<assignment_record> before)
{
    fencing_number highest(0);
    for (int n = 0; before && n < max_hiding_records; ++n)
    {
        highest = std::max(highest, before->claim_number.value_or(fencing_number(0)));
        if (!may_hide_number(*before))
        {
            break;
        }
        at = log_offset(at.count() - 1);
        before = (co_await read_record_before(partition, at)).record;
    }
    co_return highest;
}

claimant order_controller::claimant_of_settings() const
{
    return {.host = context_.settings.name, .machine = machine_id(context_.settings.ip)};
}

task<order_controller::preceding_record> order_controller::read_record_before(int partition,
                                                                              log_offset at)
{
    if (at.count() == 0)
    {
        co_return preceding_record{};
    }
    const log_offset from(at.count() - 1);
    auto call = platform::assignment_read_call(partition, from);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    if (!response)
    {
        co_return preceding_record{.read = preceding_read::no_response};
    }
    if (response->status != 200)
    {
        co_return preceding_record{.read = response->status == platform::expired_status
                                               ? preceding_read::dropped
                                               : preceding_read::refused};
    }
    auto records = platform::parse_assignment_records(response->body);
    if (records.empty())
    {
        co_return preceding_record{.read = preceding_read::past_end};
    }
    auto record = parse_assignment_record(records.front());
    co_return preceding_record{.read =
                                   record ? preceding_read::record : preceding_read::unknown_record,
                               .record = std::move(record)};
}

void order_controller::take_partition(int partition, const assignment_claim& claim,
                                      log_offset last_record, std::optional<fencing_number> stated)
{
    instant now = claim.read_at;
    const auto& previous = claim.before;
    const auto number = stated.value_or(fencing_number(claim.at.count() + 1));
    if (now >= membership_until_)
    {
        // The group may have assigned the partition to another host since.
        context_.log.write("duty_claim_dropped", "partition={} fence={} generation={} claim_ms={}",
                           partition, number.count(), generation_,
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
        taken.late_orders_end = former->second.taken.late_orders_end;
    }
    fencing_number fence = taken.resumed_fence.value_or(number);
    known_numbers_[partition] = std::max(known_numbers_[partition], number);
    auto& held = partitions_[partition];
    held = {.fence = fence,
            .number = number,
            .claim = last_record,
            .taken = taken,
            .last_record = last_record,
            .base = has_lost_claims(claim)               ? std::nullopt
                    : previous && previous->unused_since ? previous->unused_since
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
    context_.log.write(
        "duty_taken",
        "partition={} fence={} generation={} before={} kind={} wait_ms={} late={} "
        "claim_ms={} membership_ms={} offset={} number={} known={} stated={} read={}",
        partition, fence.count(), generation_, previous ? previous->holder.str() : "-",
        claim.at.count() == 0         ? "first"
        : !previous                   ? "unreadable"
        : previous->released_after    ? "late_release"
        : previous->released_for      ? "released"
        : previous->takeover_complete ? "complete"
                                      : "claim",
        wait.count(), history_.expects_late_orders(taken), elapsed_ms(claim.sent_at, now).count(),
        elapsed_ms(now, membership_until_).count(), claim.at.count(), number.count(),
        claim.highest_known.count(), claim.highest_stated.count(), to_text(claim.read));
    context_.stats.increment("banyanshunt_claims_total", {{"read", to_text(claim.read)}});
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
