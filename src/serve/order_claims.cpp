/// \file
/// The part of `order_controller` that claims partitions in the log, and reads and writes the
/// records of its claims.

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

/// How long, in leases, a claim that could not be used is kept: reads may be seconds behind.
constexpr int unread_claim_leases = 2;
/// Precedes all records: no late release belongs to an owner that the log has lost.
constexpr log_offset no_offset{-1};

} // namespace

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
                             .claim_number = copy.number};
    auto call = platform::assignment_append_call(partition, to_text(record), copy.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, store_timeout);
    int status = response ? response->status : 0;
    if (status != 200)
    {
        context_.log.write("duty_turn_untold", "partition={} status={}", partition, status);
    }
    auto after = status == platform::precondition_status ? co_await read_records(partition, copy)
                                                         : std::nullopt;
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
    else if (status == platform::precondition_status)
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
                               claimant_of_settings(), it.base.value_or(no_offset));
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
    // What is heard from here on may be of later claims.
    const auto highest_known = known_numbers_[partition];
    const bool forgotten_owner_known = forgotten_owners_.contains(partition);
    auto offset = co_await find_or_append_claim(partition);
    if (!offset)
    {
        co_return;
    }
    auto before = co_await read_conclusively(partition, *offset);
    assignment_claim it{.own = claimant_of_settings(),
                        .at = *offset,
                        .before = before.record,
                        .read = before.read,
                        .highest_known = highest_known,
                        .forgotten_owner_known = forgotten_owner_known,
                        .sent_at = claimed_at,
                        .read_at = context_.now()};
    auto stated = co_await read_stated_number(partition, it.at, before);
    auto lasting = stated && stated->ends_at_gap ? co_await read_lasting_number(partition)
                                                 : std::optional(fencing_number(0));
    if (!stated || !lasting)
    {
        // A number that cannot be compared with those before it is none.
        unread_claims_.try_emplace(partition, unread_claim{.at = it.at, .appended_at = claimed_at});
        log_claim_dropped(partition, "unread", it);
        co_return;
    }
    it.highest_stated = stated->highest;
    it.highest_known = std::max(highest_known, *lasting);
    unread_claims_.erase(partition);
    log_offset last_record = it.at;
    if (has_to_state_number(it))
    {
        context_.stats.increment("banyanshunt_claim_numbers_stated_total");
        context_.log.write("duty_number_stated", "partition={} number={} offset={} known={}",
                           partition, number_of(it).count(), it.at.count(),
                           it.highest_known.count());
        // Directly behind the claim, so that the next host reads it.
        auto stated_at = co_await append_claim(partition, number_of(it), it.at);
        if (!stated_at)
        {
            log_claim_dropped(partition, "not_stated", it);
            co_return;
        }
        last_record = *stated_at;
    }
    if (it.before && it.before->unused_since)
    {
        // The owner in between gave no order, so the one before it may be this host.
        auto base = co_await read_record_before(partition,
                                                log_offset(it.before->unused_since->count() + 1));
        if (completed_by(it.own, base.record))
        {
            it.before = std::move(base.record);
        }
    }
    it.read_at = context_.now();
    take_partition(partition, it, last_record);
}

void order_controller::log_claim_dropped(int partition, const char* reason,
                                         const assignment_claim& claim)
{
    context_.stats.increment("banyanshunt_claims_dropped_total", {{"reason", reason}});
    context_.log.write("duty_claim_dropped",
                       "partition={} reason={} generation={} offset={} read={} claim_ms={}",
                       partition, reason, generation_, claim.at.count(), to_text(claim.read),
                       elapsed_ms(claim.sent_at, context_.now()).count());
}

task<std::optional<log_offset>> order_controller::find_or_append_claim(int partition)
{
    auto unread = unread_claims_.find(partition);
    if (unread == unread_claims_.end())
    {
        co_return co_await append_claim(partition, std::nullopt, std::nullopt);
    }
    const unread_claim it = unread->second;
    held_partition own{
        .fence = {}, .number = {}, .claim = it.at, .taken = {}, .last_record = it.at};
    auto after = co_await read_records(partition, own);
    bool shows_nothing = !after || after->ends_before;
    if (shows_nothing && context_.now() < it.appended_at + unread_claim_leases * lease())
    {
        co_return std::nullopt;
    }
    if (!shows_nothing && !after->superseded)
    {
        co_return it.at;
    }
    unread_claims_.erase(partition);
    co_return co_await append_claim(partition, std::nullopt, std::nullopt);
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

claimant order_controller::claimant_of_settings() const
{
    const auto& ip = context_.settings.ip;
    return {
        .host = context_.settings.name, .machine = machine_id(ip), .number = machine_number_of(ip)};
}

void order_controller::take_partition(int partition, const assignment_claim& claim,
                                      log_offset last_record)
{
    instant now = claim.read_at;
    const auto& previous = claim.before;
    const auto number = number_of(claim);
    if (now >= membership_until_)
    {
        // The group may have assigned the partition to another host since.
        log_claim_dropped(partition, "lapsed", claim);
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
            .lasts = !has_to_state_number(claim),
            .used = taken.resumed_fence.has_value(),
            .highest_stated = claim.highest_stated};
    forgotten_owners_.erase(partition);
    apply_known_number(partition, known_numbers_[partition]);
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

} // namespace banyanshunt
