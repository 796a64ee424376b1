#include "coordination/share_controller.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr std::int64_t milliseconds_in_second = 1000;
/// The length of the interval over which granted tokens are counted as demand.
constexpr milliseconds demand_span(500);
/// The retry delay while this host has no share and knows of no responsive peer that has one.
constexpr milliseconds no_share_retry_delay(200);
/// How long a recorded shortage counts unless it is recorded again.
constexpr milliseconds shortage_validity(100);

} // namespace

share_controller::share_controller(const share_controller_options& options)
    : options_(options), ledger_(options.ledger), membership_(options.self, options.lease)
{
}

layered<share_size> share_controller::own_size(const share_size& fleet) const
{
    layered<share_size> own;
    for (auto layer : all_layers)
    {
        own[layer].permits = fleet.permits;
        if (divisors_[layer] > 0)
        {
            std::int64_t divisor = std::int64_t{2} * options_.domains * divisors_[layer];
            own[layer].rate = millitokens_per_second(fleet.rate.count() / divisor);
            own[layer].depth = millitokens(fleet.depth.count() / divisor);
        }
    }
    return own;
}

void share_controller::set_limits(const std::map<resource_id, share_size>& limits, instant now)
{
    for (const auto& resource : ledger_.resources())
    {
        if (!limits.contains(resource))
        {
            ledger_.forget(resource, now);
        }
    }
    limits_ = limits;
    std::erase_if(demands_, [this](const auto& it)
                  { return it.second.queue.empty() && !limits_.contains(it.first); });
    for (const auto& [resource, fleet] : limits_)
    {
        ledger_.set_share(resource, own_size(fleet), membership_.held_from_first(), now);
    }
}

void share_controller::set_peers(const std::vector<share_peer>& peers)
{
    std::erase_if(peers_,
                  [&](const auto& it)
                  {
                      auto same = [&](const auto& peer) { return peer.host == it.first; };
                      return std::ranges::none_of(peers, same);
                  });
    for (const auto& peer : peers)
    {
        if (peer.host != options_.self.host)
        {
            peers_.try_emplace(peer.host, peer.domain, options_.peers);
        }
    }
}

void share_controller::confirm(instant now)
{
    bool read_advanced = membership_.progress().read != last_read_;
    last_read_ = membership_.progress().read;
    for (auto layer : all_layers)
    {
        // Another host may own the tokens that refilled while this host was not confirmed.
        if (read_advanced)
        {
            ledger_.discard_unconfirmed(layer, now);
        }
        ledger_.confirm_until(layer, membership_.usable_until(layer));
    }
}

void share_controller::refresh(instant now)
{
    membership_.settle(now);
    confirm(now);
    layered<int> divisors{0, 0};
    for (auto layer : all_layers)
    {
        divisors[layer] = membership_.divisor(layer);
    }
    if (divisors != divisors_)
    {
        divisors_ = divisors;
        set_limits(std::map(limits_), now);
    }
    if (ledger_.cut_is_complete(now))
    {
        membership_.record_cut();
    }
}

void share_controller::record_log_read(instant read_start, instant now)
{
    confirm(now);
    membership_.record_log_read(read_start);
    refresh(now);
}

void share_controller::record_grant(demand& it, millitokens amount, instant now) const
{
    if (now - it.span_start >= demand_span)
    {
        bool stale = now - it.span_start >= 2 * demand_span;
        it.granted_before = stale ? millitokens(0) : it.granted;
        it.granted = millitokens(0);
        it.span_start = now;
    }
    it.granted += amount;
}

bool share_controller::acquire(const resource_id& resource, millitokens amount, instant now)
{
    demand& it = demands_[resource];
    if (leaving_ || !it.queue.empty() || !ledger_.acquire(resource, amount, now))
    {
        return false;
    }
    record_grant(it, amount, now);
    it.shortage_until = instant();
    return true;
}

millitokens share_controller::available(const resource_id& resource, instant now)
{
    return ledger_.available(resource, now);
}

std::optional<milliseconds> share_controller::time_until(const resource_id& resource,
                                                         millitokens amount, instant now)
{
    auto fleet = limits_.find(resource);
    if (fleet == limits_.end() || amount > fleet->second.depth)
    {
        return std::nullopt;
    }
    // Tokens of unresponsive peers cannot be borrowed, so they do not count.
    auto own_rate = ledger_.rate(resource, now);
    auto others = std::max<std::int64_t>(static_cast<std::int64_t>(peers_.size()), 1);
    auto peer_rate = (fleet->second.rate - own_rate).count() / others;
    millitokens_per_second reachable_rate = own_rate;
    millitokens reachable_tokens = ledger_.available(resource, now);
    for (const auto& [host, peer] : peers_)
    {
        if (peer.responsive() && options_.may_borrow)
        {
            reachable_rate += millitokens_per_second(peer_rate);
            reachable_tokens +=
                peer.estimate(resource, millitokens_per_second(peer_rate),
                              millitokens(fleet->second.depth.count() / (others + 1)), now);
        }
    }
    millitokens missing = demands_[resource].queue.total() + amount - reachable_tokens;
    if (missing <= millitokens(0))
    {
        return milliseconds(1);
    }
    if (reachable_rate.count() <= 0)
    {
        return no_share_retry_delay;
    }
    return milliseconds(missing.count() * milliseconds_in_second / reachable_rate.count() + 1);
}

std::optional<share_number> share_controller::enqueue(const resource_id& resource,
                                                      millitokens amount, instant deadline,
                                                      instant now)
{
    demand& it = demands_[resource];
    auto needed = time_until(resource, amount, now);
    bool in_time = needed && now + *needed < deadline;
    if (leaving_ || !in_time || it.queue.size() >= options_.max_waiting)
    {
        return std::nullopt;
    }
    last_number_ += share_number(1);
    it.queue.push({.id = last_number_, .amount = amount, .since = now, .deadline = deadline});
    return last_number_;
}

void share_controller::record_shortage(const resource_id& resource, millitokens amount, instant now)
{
    demand& it = demands_[resource];
    if (now >= it.shortage_until)
    {
        it.shortage_since = now;
    }
    it.shortage = amount;
    it.shortage_until = now + shortage_validity;
}

std::optional<share_waiter> share_controller::waiting_demand(const demand& it, instant now)
{
    if (!it.queue.empty())
    {
        share_waiter combined = it.queue.front();
        combined.amount = it.queue.total();
        return combined;
    }
    if (now < it.shortage_until)
    {
        return share_waiter{.id = {},
                            .amount = it.shortage,
                            .since = it.shortage_since,
                            .deadline = it.shortage_until};
    }
    return std::nullopt;
}

void share_controller::cancel(const resource_id& resource, share_number id)
{
    demands_[resource].queue.remove(id);
}

std::vector<share_outcome> share_controller::process_queues(instant now)
{
    std::vector<share_outcome> outcomes;
    for (auto& [resource, it] : demands_)
    {
        for (const auto& expired : it.queue.extract_expired(now))
        {
            outcomes.push_back({.id = expired.id, .granted = false});
        }
        while (!it.queue.empty() && ledger_.acquire(resource, it.queue.front().amount, now))
        {
            record_grant(it, it.queue.front().amount, now);
            outcomes.push_back({.id = it.queue.front().id, .granted = true});
            it.queue.pop();
        }
    }
    return outcomes;
}

void share_controller::release(const resource_id& resource, millitokens amount, instant now)
{
    millitokens excess = ledger_.release(resource, amount, now);
    if (excess > millitokens(0) && limits_.contains(resource) && options_.may_borrow)
    {
        refunds_[resource] += excess;
    }
}

void share_controller::leave(instant now)
{
    leaving_ = true;
    left_at_ = now;
    ledger_.return_loans(instant::max(), now);
}

bool share_controller::may_resign(instant now)
{
    bool handed_over = peers_.empty() || now - left_at_ >= options_.handover;
    return leaving_ && handed_over && !ledger_.has_open_loans(now);
}

} // namespace banyanshunt
