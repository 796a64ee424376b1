/// \file
/// The part of `order_controller` that is a member of the group which assigns engines to hosts.

#include "serve/order_controller.hpp"

#include <algorithm>
#include <utility>

#include "platform/store.hpp"
#include "serve/loop_runner.hpp"

namespace banyanshunt
{

namespace
{

/// How often per lease a member renews its membership, so that one lost call does not end it.
constexpr int joins_per_lease = 4;
/// How often a host that is no member checks whether it should be one.
constexpr milliseconds membership_recheck{500};

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
        co_await record_lasting_numbers();
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
    if (lapsed)
    {
        unread_claims_.clear();
    }
    own_releases_.clear();
    generation_ = assignment->generation;
    std::set<int> listed(assignment->partitions.begin(), assignment->partitions.end());
    std::map<int, held_partition> moved;
    for (auto it = partitions_.begin(); it != partitions_.end();)
    {
        bool is_listed = !lapsed && listed.contains(it->first);
        // The other hosts follow the owner with the highest number.
        bool outnumbered = it->second.outnumbered;
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
    std::erase_if(unread_claims_, [&](const auto& it) { return !listed.contains(it.first); });
    std::erase_if(listed_since_, [&](const auto& it)
                  { return !listed.contains(it.first) || partitions_.contains(it.first); });
    co_await confirm_claims();
    std::vector<int> settled;
    for (int partition : listed)
    {
        if (!partitions_.contains(partition) && is_settled(partition, context_.now()))
        {
            settled.push_back(partition);
        }
    }
    // A host that has just started hears what others know before they may end as well.
    if (!listed_since_.empty() || !survey_.has_answers())
    {
        ask_numbers();
    }
    // One that cannot be read must not keep the others from being claimed.
    std::stable_partition(settled.begin(), settled.end(),
                          [&](int partition) { return !unread_claims_.contains(partition); });
    bool has_claimed = false;
    for (int partition : settled)
    {
        // The next call to the group must not wait for many claims that take long.
        bool has_time = !has_claimed || context_.now() + lease() / 2 < membership_until_;
        if (has_time && is_surveyed(partition))
        {
            has_claimed = true;
            co_await claim(partition);
        }
    }
    // The group assigns them to others only after this host's next call.
    co_await release(std::move(moved), store_timeout);
    co_return true;
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
        claimed_at = co_await append_claim(partition, before.number, before.last_record);
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
