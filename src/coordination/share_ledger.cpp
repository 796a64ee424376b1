#include "coordination/share_ledger.hpp"

#include <algorithm>

#include "state/invariant.hpp"

namespace banyanshunt
{
namespace
{

constexpr millitokens nothing(0);
constexpr std::int64_t milliseconds_in_second = 1000;

bool is_spent(millitokens left)
{
    return left == nothing;
}

} // namespace

share_ledger::owned_share* share_ledger::find(const resource_id& resource)
{
    auto it = shares_.find(resource);
    return it == shares_.end() ? nullptr : &it->second;
}

void share_ledger::fill_if_first(const resource_id& resource, share_layer layer, bool is_new,
                                 instant now)
{
    share_bucket& bucket = shares_.at(resource).buckets[layer];
    bool owns = bucket.size().depth > nothing && !bucket.size().permits;
    bool first = owns && begun_[layer].insert(resource).second;
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
            // The time for which this host could not act must not refill at the new rate.
            share.buckets[layer].skip_refill(counted(layer, now), now);
            share.buckets[layer].resize(size[layer], now);
            fill_if_first(resource, layer, is_new, now);
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
    bool owes =
        share->buckets.confirmed.outstanding() + share->buckets.outage.outstanding() > nothing;
    if (!owes)
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
        share.buckets[layer].skip_refill(counted(layer, now), now);
    }
}

millitokens share_ledger::own_level(owned_share& share, instant now)
{
    millitokens sum = nothing;
    for (auto layer : all_layers)
    {
        sum += confirmed(layer, now) ? share.buckets[layer].level(now) : nothing;
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
    // Loans go first, as they expire.
    for (auto& loan : share->borrowed)
    {
        millitokens part = std::min(loan.left, amount);
        loan.left -= part;
        amount -= part;
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
    check_invariant(amount == nothing, "a grant was not covered");
    return true;
}

millitokens share_ledger::release(const resource_id& resource, millitokens amount, instant now)
{
    owned_share* share = find(resource);
    for (auto layer : all_layers)
    {
        // A layer whose share was cut below the places in use is relieved first.
        if (share && share->buckets[layer].size().permits)
        {
            millitokens excess =
                share->buckets[layer].outstanding() - share->buckets[layer].size().depth;
            millitokens part = std::clamp(excess, nothing, std::max(amount, nothing));
            amount -= share->buckets[layer].release_up_to(part, counted(layer, now));
        }
    }
    for (auto layer : all_layers)
    {
        // A place is free again whenever its holder says so; a token needs an owner.
        if (share && (confirmed(layer, now) || share->buckets[layer].size().permits))
        {
            amount -= share->buckets[layer].release_up_to(amount, counted(layer, now));
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
        return nothing;
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
    millitokens sum = nothing;
    for (auto layer : all_layers)
    {
        sum += share && confirmed(layer, now) ? share->buckets[layer].depth() : nothing;
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
    next_ += share_number(1);
    asked_[next_] = {.resource = resource, .expires = now + options_.loan_duration};
    return {.number = next_, .resource = resource, .amount = amount, .waited = waited};
}

token_loan share_ledger::lend(const token_request& asked, millitokens kept, instant now)
{
    expire(now);
    token_loan answer{.request = asked.number,
                      .loan = {},
                      .resource = asked.resource,
                      .amount = nothing,
                      .remaining = nothing};
    owned_share* share = find(asked.resource);
    if (!share || share->buckets.confirmed.size().permits)
    {
        return answer;
    }
    // Only own tokens are lent on: a borrowed one is still counted by its own lender.
    millitokens level = own_level(*share, now);
    if (asked.waited == milliseconds(0))
    {
        auto soon = rate(asked.resource, now).count() * options_.surplus_horizon.count();
        kept =
            std::max(kept, depth(asked.resource, now) - millitokens(soon / milliseconds_in_second));
    }
    millitokens amount = std::min(asked.amount, level - kept);
    answer.remaining = std::max(level - kept - std::max(amount, nothing), nothing);
    if (amount <= nothing)
    {
        return answer;
    }
    lent_loan loan{.resource = asked.resource,
                   .parts = {},
                   .expires = now + options_.loan_duration + options_.loan_margin};
    millitokens rest = amount;
    for (auto layer : all_layers)
    {
        millitokens there = confirmed(layer, now) ? share->buckets[layer].level(now) : nothing;
        loan.parts[layer] = std::min(rest, there);
        share->buckets[layer].lend(loan.parts[layer], counted(layer, now));
        rest -= loan.parts[layer];
    }
    next_ += share_number(1);
    lent_[next_] = loan;
    answer.loan = next_;
    answer.amount = amount;
    return answer;
}

void share_ledger::accept_loan(const host_incarnation& lender, const token_loan& loan, instant now)
{
    auto it = asked_.find(loan.request);
    if (it == asked_.end() || it->second.resource != loan.resource)
    {
        return;
    }
    instant expires = it->second.expires;
    asked_.erase(it);
    owned_share* share = find(loan.resource);
    if (!share || share->forgotten || now >= expires || loan.amount <= nothing)
    {
        return;
    }
    share->borrowed.push_back(
        {.lender = lender, .loan = loan.loan, .left = loan.amount, .expires = expires});
}

void share_ledger::close_loan(const lent_loan& loan, millitokens returned, instant now)
{
    owned_share* share = find(loan.resource);
    check_invariant(share, "a share was dropped while it had loans");
    for (auto layer : all_layers)
    {
        millitokens part = std::clamp(returned, nothing, loan.parts[layer]);
        share->buckets[layer].end_loan(loan.parts[layer], part, counted(layer, now));
        returned -= part;
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
    std::erase_if(asked_, [now](const auto& it) { return now >= it.second.expires; });
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
        close_loan(loan, nothing, loan.expires);
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
    auto due = reports_.extract(lender);
    return due.empty() ? std::vector<loan_report>() : std::move(due.mapped());
}

std::vector<host_incarnation> share_ledger::lenders_to_notify() const
{
    std::vector<host_incarnation> lenders;
    for (const auto& [lender, due] : reports_)
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
