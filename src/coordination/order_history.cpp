#include "coordination/order_history.hpp"

#include <algorithm>

namespace banyanshunt
{

void order_history::observe(const std::map<server_id, registered_engine>& engines, instant now)
{
    bool is_first = !observed_ && !engines.empty();
    for (const auto& [server, engine] : engines)
    {
        auto [it, is_new] = records_.try_emplace(server);
        auto& known = it->second;
        bool restarted = !is_new && known.engine.start_time_ms != engine.start_time_ms;
        if (restarted)
        {
            // An order that is held up on its way outlasts the process that it was sent to.
            engine_record next;
            next.last_order_at = known.last_order_at;
            next.open_since = known.open_since;
            next.open_fence = known.open_fence;
            known = next;
        }
        bool is_old = engine.process_started_at + options_.clock_difference < now;
        if (is_new ? !is_first && is_old : !restarted && !known.registered)
        {
            known.reappeared_at = now;
            known.absent_since = known.seen_at;
        }
        known.engine = engine;
        known.registered = true;
        known.seen_at = now;
    }
    for (auto& [server, known] : records_)
    {
        known.registered = engines.contains(server);
    }
    std::erase_if(
        records_, [&](const auto& it)
        { return !it.second.registered && now - it.second.seen_at > options_.forget_after; });
    observed_ = observed_ || is_first;
}

void order_history::record_order(const server_id& server, fencing_number fence, bool answered,
                                 instant now)
{
    auto it = records_.find(server);
    if (it == records_.end())
    {
        return;
    }
    it->second.last_order_at = now;
    if (!answered)
    {
        it->second.open_since = now;
        it->second.open_fence = fence;
    }
}

std::optional<instant> order_history::record_response(const server_id& server, const claim& it,
                                                      instant asked_at, instant now)
{
    auto known = records_.find(server);
    if (known == records_.end())
    {
        return std::nullopt;
    }
    auto& record = known->second;
    std::optional<instant> late_order;
    if (record.open_since && asked_at >= *record.open_since)
    {
        // It may have read the order as late as now.
        record.last_order_at = now;
        if (now - *record.open_since <= options_.late_order_evidence)
        {
            late_order = record.open_since;
            record_late_order(*late_order);
        }
    }
    auto needed = needed_after(record, it.taken);
    bool counts = !needed || asked_at >= *needed;
    if (counts && (!record.responded_at || (needed && record.asked_at < *needed)))
    {
        record.responded_at = now;
        record.asked_at = asked_at;
        if (needed)
        {
            record.last_order_at = std::max(record.last_order_at, now);
        }
    }
    if (record.open_since && !has_open_order(record, now))
    {
        record.open_since.reset();
    }
    return late_order;
}

void order_history::record_late_order(instant at)
{
    if (last_late_order_ && at <= *last_late_order_)
    {
        return;
    }
    if (!last_late_order_ || at - *last_late_order_ > options_.order_delay)
    {
        late_orders_since_ = at;
    }
    last_late_order_ = at;
}

bool order_history::expects_late_orders(const takeover& taken) const
{
    return taken.late_orders_end && last_late_order_ &&
           *last_late_order_ + options_.order_delay >= taken.claimed_at &&
           *late_orders_since_ <= taken.may_order_at;
}

std::optional<instant> order_history::needed_after(const engine_record& it,
                                                   const takeover& taken) const
{
    auto needed = taken.ask_engines_after;
    if (needed && it.engine.process_started_at >= *needed + options_.clock_difference)
    {
        // The process is younger than every order of an earlier claim.
        needed.reset();
    }
    return it.reappeared_at ? std::max(needed, it.reappeared_at) : needed;
}

std::optional<instant> order_history::first_order_at(const engine_record& it,
                                                     const claim& own) const
{
    instant at = own.taken.may_order_at;
    if (own.taken.from_other_host && expects_late_orders(own.taken))
    {
        at = std::max(at, *own.taken.late_orders_end);
    }
    if (it.open_since && it.open_fence != own.fence)
    {
        at = std::max(at, *it.open_since + options_.open_order_time);
    }
    auto needed = needed_after(it, own.taken);
    bool from_others = own.taken.from_other_host || it.reappeared_at;
    if (!needed || !from_others)
    {
        return at;
    }
    return has_responded(it, needed)
               ? std::optional(std::max(at, *it.responded_at + response_wait(it, own.taken)))
               : std::nullopt;
}

bool order_history::has_responded(const engine_record& it, const std::optional<instant>& needed)
{
    return needed && it.responded_at && it.asked_at >= *needed;
}

milliseconds order_history::response_wait(const engine_record& it, const takeover& taken) const
{
    // While the engine was absent, its owner was this host, whose orders are known.
    bool only_reappeared = !taken.ask_engines_after && taken.claimed_at <= it.absent_since;
    bool late = !only_reappeared && expects_late_orders(taken);
    return options_.lease + (late ? options_.order_delay : milliseconds(0));
}

std::optional<instant> order_history::first_order_at(const server_id& server, const claim& it) const
{
    auto known = records_.find(server);
    return known == records_.end() ? std::nullopt : first_order_at(known->second, it);
}

std::optional<instant> order_history::awaits_response_after(const server_id& server,
                                                            const claim& it) const
{
    auto known = records_.find(server);
    if (known == records_.end() || first_order_at(known->second, it))
    {
        return std::nullopt;
    }
    return needed_after(known->second, it.taken);
}

bool order_history::has_open_order(const engine_record& it, instant now) const
{
    if (!it.open_since)
    {
        return false;
    }
    bool responded = it.last_order_at > *it.open_since;
    return !responded || now < *it.open_since + options_.open_order_time;
}

bool order_history::is_settled(const claim& it,
                               const std::function<bool(const server_id&)>& in_partition,
                               instant now) const
{
    // Other hosts may still tell of late orders that make the wait longer.
    bool may_wait_longer =
        it.taken.from_other_host && it.taken.late_orders_end > it.taken.may_order_at;
    if (may_wait_longer && now < it.taken.may_order_at + options_.late_order_evidence)
    {
        return false;
    }
    return std::all_of(records_.begin(), records_.end(),
                       [&](const auto& known)
                       {
                           const auto& [server, record] = known;
                           if (!in_partition(server))
                           {
                               return true;
                           }
                           if (has_open_order(record, now))
                           {
                               return false;
                           }
                           auto needed = needed_after(record, it.taken);
                           bool asked = record.registered && !record.engine.leaving && needed;
                           if (!asked)
                           {
                               return true;
                           }
                           auto first = first_order_at(record, it);
                           return record.responded_at && record.asked_at >= *needed && first &&
                                  *first <= now;
                       });
}

std::optional<instant>
order_history::free_at(const claim& it,
                       const std::function<bool(const server_id&)>& in_partition) const
{
    instant at = it.taken.may_order_at;
    if (expects_late_orders(it.taken))
    {
        at = std::max(at, *it.taken.late_orders_end);
    }
    for (const auto& [server, record] : records_)
    {
        if (!in_partition(server))
        {
            continue;
        }
        at = std::max(at, record.last_order_at + options_.lease);
        if (record.open_since)
        {
            bool responded = record.last_order_at > *record.open_since;
            if (!responded)
            {
                return std::nullopt;
            }
            at = std::max(at, *record.open_since + options_.open_order_time + options_.lease);
        }
        auto needed = needed_after(record, it.taken);
        if (needed && record.registered && !record.engine.leaving)
        {
            if (!has_responded(record, needed))
            {
                return std::nullopt;
            }
            at = std::max(at, *record.responded_at + response_wait(record, it.taken));
        }
    }
    return at;
}

instant
order_history::last_order_at(const std::function<bool(const server_id&)>& in_partition) const
{
    instant last{};
    for (const auto& [server, record] : records_)
    {
        last = in_partition(server) ? std::max(last, record.last_order_at) : last;
    }
    return last;
}

} // namespace banyanshunt
