#include "coordination/share_ledger.hpp"

#include <algorithm>

#include "state/invariant.hpp"

namespace banyanshunt
{
namespace
{

constexpr millitokens zero_tokens(0);
constexpr std::int64_t milliseconds_in_second = 1000;

bool is_spent(millitokens left)
{
    return left == zero_tokens;
}

} // namespace

share_ledger::owned_share* share_ledger::find(const resource_id& resource)
{
    auto it = shares_.find(resource);
    return it == shares_.end() ? nullptr : &it->second;
}

void share_ledger::fill_first_share(const resource_id& resource, share_layer layer, bool is_new,
                                    instant now)
{
    share_bucket& bucket = shares_.at(resource).buckets[layer];
    bool owns = bucket.size().depth > zero_tokens && !bucket.size().permits;
    bool first = owns && ever_owned_[layer].insert(resource).second;
    if (first && is_new)
    {
        bucket.fill(now);
    }
}

void share_ledger::set_share(const resource_id& resource, const layered<share_size>& size,
                             bool is_new, instant now)
{
    owned_share& share = shares_.try_emplace(resource, now).first->second;
    share.forgotten = false;
    for (auto layer : all_layers)
    {
        if (share.buckets[layer].size() != size[layer])
        {
            // The time for which this host was not confirmed must not refill at the new rate.
            share.buckets[layer].skip_refill(refill_limit(layer, now), now);
            share.buckets[layer].resize(size[layer], now);
            fill_first_share(resource, layer, is_new, now);
        }
    }
}

void share_ledger::forget(const resource_id& resource, instant now)
{
    owned_share* share = find(resource);
    if (!share)
    {
        return;
    }
    share_size none{.rate = {}, .depth = {}, .permits = share->buckets.confirmed.size().permits};
    set_share(resource, {.confirmed = none, .outage = none}, false, now);
    share->borrowed.clear();
    share->forgotten = true;
    bool has_outstanding =
        share->buckets.confirmed.outstanding() + share->buckets.outage.outstanding() > zero_tokens;
    if (!has_outstanding)
    {
        shares_.erase(resource);
    }
}

std::vector<resource_id> share_ledger::resources() const
{
    std::vector<resource_id> all;
    for (const auto& [resource, share] : shares_)
    {
        all.push_back(resource);
    }
    return all;
}

void share_ledger::discard_unconfirmed(share_layer layer, instant now)
{
    for (auto& [resource, share] : shares_)
    {
        share.buckets[layer].skip_refill(refill_limit(layer, now), now);
    }
}

millitokens share_ledger::own_level(owned_share& share, instant now)
{
    millitokens sum = zero_tokens;
    for (auto layer : all_layers)
    {
        sum += confirmed(layer, now) ? share.buckets[layer].level(now) : zero_tokens;
    }
    return sum;
}

bool share_ledger::acquire(const resource_id& resource, millitokens amount, instant now)
{
    if (amount > available(resource, now))
    {
        return false;
    }
    owned_share* share = find(resource);
    if (!share)
    {
        return true;
    }
    // Spend loans first, because they expire.
    for (auto& loan : share->borrowed)
    {
        millitokens taken = std::min(loan.left, amount);
        loan.left -= taken;
        amount -= taken;
        if (is_spent(loan.left))
        {
            report(loan);
        }
    }
    std::erase_if(share->borrowed, [](const auto& it) { return is_spent(it.left); });
    for (auto layer : all_layers)
    {
        if (confirmed(layer, now))
        {
            amount -= share->buckets[layer].acquire_up_to(amount, now);
        }
    }
    check_invariant(amount == zero_tokens, "a grant exceeded the available tokens");
    return true;
}

millitokens share_ledger::release(const resource_id& resource, millitokens amount, instant now)
{
    owned_share* share = find(resource);
    for (auto layer : all_layers)
    {
        // A layer whose share was reduced below its permits in use gets permits back first.
        if (share && share->buckets[layer].size().permits)
        {
            millitokens excess =
                share->buckets[layer].outstanding() - share->buckets[layer].size().depth;
            millitokens returned = std::clamp(excess, zero_tokens, std::max(amount, zero_tokens));
            amount -= share->buckets[layer].release_up_to(returned, refill_limit(layer, now));
        }
    }
    for (auto layer : all_layers)
    {
        // A permit can always be released; a token only into a confirmed share.
        if (share && (confirmed(layer, now) || share->buckets[layer].size().permits))
        {
            amount -= share->buckets[layer].release_up_to(amount, refill_limit(layer, now));
        }
    }
    return amount;
}

millitokens share_ledger::available(const resource_id& resource, instant now)
{
    expire(now);
    owned_share* share = find(resource);
    if (!share)
    {
        return zero_tokens;
    }
    millitokens sum = own_level(*share, now);
    for (const auto& loan : share->borrowed)
    {
        sum += loan.left;
    }
    return sum;
}

millitokens share_ledger::depth(const resource_id& resource, instant now)
{
    owned_share* share = find(resource);
    millitokens sum = zero_tokens;
    for (auto layer : all_layers)
    {
        sum += share && confirmed(layer, now) ? share->buckets[layer].depth() : zero_tokens;
    }
    return sum;
}

millitokens_per_second share_ledger::rate(const resource_id& resource, instant now) const
{
    auto it = shares_.find(resource);
    millitokens_per_second sum;
    for (auto layer : all_layers)
    {
        if (it != shares_.end() && confirmed(layer, now))
        {
            sum += it->second.buckets[layer].size().rate;
        }
    }
    return sum;
}

token_request share_ledger::make_request(const resource_id& resource, millitokens amount,
                                         milliseconds waited, instant now)
{
    last_number_ += share_number(1);
    open_requests_[last_number_] = {.resource = resource, .expires = now + options_.loan_duration};
    return {.number = last_number_, .resource = resource, .amount = amount, .waited = waited};
}

token_loan share_ledger::lend(const token_request& request, millitokens kept, instant now)
{
    expire(now);
    token_loan response{.request = request.number,
                        .loan = {},
                        .resource = request.resource,
                        .amount = zero_tokens,
                        .remaining = zero_tokens};
    owned_share* share = find(request.resource);
    if (!share || share->buckets.confirmed.size().permits)
    {
        return response;
    }
    // Only own tokens are lent: a borrowed token still counts for its own lender.
    millitokens level = own_level(*share, now);
    if (request.waited == milliseconds(0))
    {
        auto refill = rate(request.resource, now).count() * options_.surplus_horizon.count();
        kept = std::max(kept, depth(request.resource, now) -
                                  millitokens(refill / milliseconds_in_second));
    }
    millitokens amount = std::min(request.amount, level - kept);
    response.remaining = std::max(level - kept - std::max(amount, zero_tokens), zero_tokens);
    if (amount <= zero_tokens)
    {
        return response;
    }
    lent_loan loan{.resource = request.resource,
                   .amounts = {},
                   .expires = now + options_.loan_duration + options_.loan_margin};
    millitokens remaining = amount;
    for (auto layer : all_layers)
    {
        millitokens available_tokens =
            confirmed(layer, now) ? share->buckets[layer].level(now) : zero_tokens;
        loan.amounts[layer] = std::min(remaining, available_tokens);
        share->buckets[layer].lend(loan.amounts[layer], refill_limit(layer, now));
        remaining -= loan.amounts[layer];
    }
    last_number_ += share_number(1);
    lent_[last_number_] = loan;
    response.loan = last_number_;
    response.amount = amount;
    return response;
}

void share_ledger::accept_loan(const host_incarnation& lender, const token_loan& loan, instant now)
{
    auto it = open_requests_.find(loan.request);
    if (it == open_requests_.end() || it->second.resource != loan.resource)
    {
        return;
    }
    instant expires = it->second.expires;
    open_requests_.erase(it);
    owned_share* share = find(loan.resource);
    if (!share || share->forgotten || now >= expires || loan.amount <= zero_tokens)
    {
        return;
    }
    share->borrowed.push_back(
        {.lender = lender, .loan = loan.loan, .left = loan.amount, .expires = expires});
}

void share_ledger::close_loan(const lent_loan& loan, millitokens returned, instant now)
{
    owned_share* share = find(loan.resource);
    check_invariant(share, "a share was removed while it had outstanding loans");
    for (auto layer : all_layers)
    {
        millitokens restored = std::clamp(returned, zero_tokens, loan.amounts[layer]);
        share->buckets[layer].end_loan(loan.amounts[layer], restored, refill_limit(layer, now));
        returned -= restored;
    }
    if (share->forgotten)
    {
        forget(loan.resource, now);
    }
}

void share_ledger::end_loan(const loan_report& report, instant now)
{
    expire(now);
    auto it = lent_.find(report.loan);
    if (it == lent_.end())
    {
        return;
    }
    lent_loan loan = it->second;
    lent_.erase(it);
    close_loan(loan, report.returned, now);
}

void share_ledger::expire(instant now)
{
    std::erase_if(open_requests_, [now](const auto& it) { return now >= it.second.expires; });
    for (auto& [resource, share] : shares_)
    {
        std::erase_if(share.borrowed, [now](const auto& it) { return now >= it.expires; });
    }
    for (auto it = lent_.begin(); it != lent_.end();)
    {
        if (now < it->second.expires)
        {
            ++it;
            continue;
        }
        lent_loan loan = it->second;
        it = lent_.erase(it);
        close_loan(loan, zero_tokens, loan.expires);
    }
}

void share_ledger::return_loans(instant limit, instant now)
{
    expire(now);
    for (auto& [resource, share] : shares_)
    {
        for (const auto& loan : share.borrowed)
        {
            if (loan.expires < limit)
            {
                report(loan);
            }
        }
        std::erase_if(share.borrowed, [limit](const auto& it) { return it.expires < limit; });
    }
}

void share_ledger::return_loans(const resource_id& resource, instant now)
{
    expire(now);
    owned_share* share = find(resource);
    if (!share)
    {
        return;
    }
    for (const auto& loan : share->borrowed)
    {
        report(loan);
    }
    share->borrowed.clear();
}

void share_ledger::report(const borrowed_loan& loan)
{
    reports_[loan.lender].push_back({.loan = loan.loan, .returned = loan.left});
}

std::vector<loan_report> share_ledger::drain_reports(const host_incarnation& lender)
{
    auto node = reports_.extract(lender);
    return node.empty() ? std::vector<loan_report>() : std::move(node.mapped());
}

std::vector<host_incarnation> share_ledger::lenders_to_notify() const
{
    std::vector<host_incarnation> lenders;
    for (const auto& [lender, reports] : reports_)
    {
        lenders.push_back(lender);
    }
    return lenders;
}

bool share_ledger::cut_is_complete(instant now)
{
    expire(now);
    return std::ranges::all_of(shares_,
                               [](const auto& it)
                               {
                                   const auto& [confirmed, outage] = it.second.buckets;
                                   return confirmed.outstanding() <= confirmed.size().depth &&
                                          outage.outstanding() <= outage.size().depth;
                               });
}

bool share_ledger::has_open_loans(instant now)
{
    expire(now);
    return !lent_.empty();
}

} // namespace banyanshunt
