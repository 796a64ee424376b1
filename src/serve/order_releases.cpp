/// \file
/// The part of `order_controller` that releases partitions and applies the releases of other hosts.

#include "serve/order_controller.hpp"

#include <algorithm>

#include "platform/store.hpp"
#include "serve/loop_runner.hpp"

namespace banyanshunt
{

namespace
{

/// Added to the lease between the last order of a host that releases an engine and the first order
/// of the next owner, for the drift between their clocks.
constexpr milliseconds release_margin{150};
/// How often a new owner reads for a late release of the owner before.
constexpr milliseconds late_release_poll{500};

} // namespace

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
                             .claim_number = held.number};
    auto call = platform::assignment_append_call(partition, to_text(record), held.last_record);
    auto response = co_await store_.call(call.method, call.target, call.body, timeout);
    if (response && response->status == platform::precondition_status)
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

} // namespace banyanshunt
