/// \file
/// The calls of a host to its peers and its answers to theirs.

#include <algorithm>

#include "coordination/share_controller.hpp"

namespace banyanshunt
{
namespace
{

constexpr millitokens nothing(0);
/// In this last part of their time unspent loans are given back, so that the lender may use them.
constexpr int return_part = 4;
/// A peer is taken as full above this part of its depth.
constexpr std::int64_t full_percent = 90;
/// Demand for which unneeded tokens of full peers are asked, beyond what is there.
constexpr std::int64_t spans_ahead = 1;

millitokens percent_of(millitokens amount, std::int64_t percent)
{
    return millitokens(amount.count() * percent / 100);
}

} // namespace

share_call& share_controller::call_to(const host_id& peer,
                                      std::map<host_id, share_call>& calls) const
{
    auto [it, fresh] = calls.try_emplace(peer);
    if (fresh)
    {
        it->second.from = options_.self;
        it->second.domain = options_.domain;
        it->second.leaving = leaving_;
    }
    return it->second;
}

millitokens share_controller::asked(const resource_id& resource) const
{
    millitokens sum = nothing;
    for (const auto& [host, peer] : peers_)
    {
        sum += peer.requested(resource);
    }
    return sum;
}

void share_controller::ask_for_waiting(const resource_id& resource, demand& it, instant now,
                                       std::map<host_id, share_call>& calls)
{
    auto fleet = limits_.find(resource);
    auto need = needed(it, now);
    if (!need || fleet == limits_.end())
    {
        return;
    }
    millitokens missing = std::min(need->amount, fleet->second.depth) -
                          ledger_.available(resource, now) - asked(resource);
    auto hosts = static_cast<std::int64_t>(peers_.size()) + 1;
    millitokens_per_second rate(fleet->second.rate.count() / hosts);
    millitokens depth(fleet->second.depth.count() / hosts);
    struct candidate
    {
        millitokens guess;
        bool near = false;
        host_id host;
    };
    std::vector<candidate> order;
    for (const auto& [host, peer] : peers_)
    {
        if (peer.may_request(resource, now))
        {
            order.push_back({.guess = peer.estimate(resource, rate, depth, now),
                             .near = peer.domain() == options_.domain,
                             .host = host});
        }
    }
    std::ranges::sort(order, [](const auto& a, const auto& b)
                      { return std::tie(a.guess, a.near) > std::tie(b.guess, b.near); });
    auto waited = std::chrono::duration_cast<milliseconds>(now - need->since);
    for (const auto& next : order)
    {
        if (missing <= nothing)
        {
            return;
        }
        call_to(next.host, calls)
            .requests.push_back(
                ledger_.make_request(resource, missing, std::max(waited, milliseconds(1)), now));
        missing -= next.guess;
    }
}

void share_controller::ask_for_overflow(const resource_id& resource, demand& it, instant now,
                                        std::map<host_id, share_call>& calls)
{
    auto fleet = limits_.find(resource);
    if (fleet == limits_.end() || fleet->second.permits ||
        now - it.topped_up < options_.top_up_period)
    {
        return;
    }
    millitokens demand_ahead(std::max(it.granted, it.granted_before).count() * spans_ahead);
    millitokens wanted = demand_ahead - ledger_.available(resource, now) - asked(resource);
    if (wanted <= nothing)
    {
        return;
    }
    it.topped_up = now;
    auto hosts = static_cast<std::int64_t>(peers_.size()) + 1;
    millitokens_per_second rate(fleet->second.rate.count() / hosts);
    millitokens depth(fleet->second.depth.count() / hosts);
    for (const auto& [host, peer] : peers_)
    {
        bool full = peer.estimate(resource, rate, depth, now) >= percent_of(depth, full_percent);
        if (peer.may_request(resource, now) && (full || peer.leaving()))
        {
            call_to(host, calls)
                .requests.push_back(ledger_.make_request(resource, wanted, milliseconds(0), now));
        }
    }
}

void share_controller::add_asks(instant now, std::map<host_id, share_call>& calls)
{
    if (leaving_ || !options_.may_borrow)
    {
        return;
    }
    for (auto& [resource, it] : demands_)
    {
        ask_for_waiting(resource, it, now, calls);
        ask_for_overflow(resource, it, now, calls);
    }
}

void share_controller::add_duties(instant now, std::map<host_id, share_call>& calls)
{
    auto due = ledger_.lenders_to_notify();
    for (const auto& [host, peer] : peers_)
    {
        if (peer.busy() || !peer.responsive())
        {
            continue;
        }
        bool owed = peer.incarnation() && std::ranges::find(due, *peer.incarnation()) != due.end();
        bool rested = now - peer.last_call() >= options_.report_delay;
        if ((owed || !refunds_.empty()) && rested)
        {
            call_to(host, calls);
        }
    }
    for (const auto& [host, peer] : peers_)
    {
        bool near = peer.domain() == options_.domain;
        if (near && !peer.busy() && now - peer.last_call() >= options_.heartbeat)
        {
            call_to(host, calls);
        }
    }
    // Refunds go to one peer each, in turn: twice would be one grant too many.
    for (auto& [host, call] : calls)
    {
        if (refunds_.empty())
        {
            break;
        }
        auto first = refunds_.begin();
        next_ += share_number(1);
        call.refunds.push_back(
            {.number = next_, .resource = first->first, .amount = first->second});
        refunds_.erase(first);
    }
}

std::vector<outgoing_share_call> share_controller::outgoing_calls(instant now)
{
    refresh(now);
    ledger_.return_loans(now + options_.ledger.loan_duration / return_part, now);
    std::map<host_id, share_call> calls;
    add_asks(now, calls);
    add_duties(now, calls);
    std::vector<outgoing_share_call> out;
    for (auto& [host, call] : calls)
    {
        share_peer_state& peer = peers_.at(host);
        call.progress = membership_.progress();
        if (peer.incarnation())
        {
            call.reports = ledger_.drain_reports(*peer.incarnation());
        }
        peer.begin_call(call, now);
        out.push_back({.recipient = host, .call = std::move(call)});
    }
    return out;
}

void share_controller::handle_response(const host_id& from, const share_response& reply,
                                       instant asked_at, instant now)
{
    auto it = peers_.find(from);
    if (it != peers_.end())
    {
        it->second.end_call(reply, now);
    }
    if (reply.domain == options_.domain)
    {
        membership_.record_peer(reply.from, reply.progress, asked_at, now);
    }
    confirm(now);
    for (const auto& loan : reply.loans)
    {
        ledger_.accept_loan(reply.from, loan, now);
    }
}

void share_controller::handle_failure(const host_id& from, instant now)
{
    auto it = peers_.find(from);
    if (it != peers_.end())
    {
        it->second.fail_call(now);
    }
}

share_response share_controller::handle_call(const share_call& call, instant now)
{
    share_response reply{.from = options_.self,
                         .domain = options_.domain,
                         .progress = {},
                         .leaving = leaving_,
                         .loans = {}};
    auto peer = peers_.find(call.from.host);
    if (peer != peers_.end())
    {
        peer->second.record_incarnation(call.from, call.leaving);
    }
    if (call.domain == options_.domain)
    {
        membership_.record_peer(call.from, call.progress, std::nullopt, now);
    }
    refresh(now);
    for (const auto& report : call.reports)
    {
        ledger_.end_loan(report, now);
    }
    for (const auto& refund : call.refunds)
    {
        share_number& seen = refunds_seen_[call.from];
        if (refund.number > seen)
        {
            seen = refund.number;
            ledger_.release(refund.resource, refund.amount, now);
        }
    }
    for (token_request ask : call.requests)
    {
        auto mine = needed(demands_[ask.resource], now);
        // Of two hosts that both wait, the one whose request came first gets the other's tokens.
        bool mine_first = mine && now - mine->since >= ask.waited;
        ask.waited = leaving_ ? std::max(ask.waited, milliseconds(1)) : ask.waited;
        bool closed = leaving_ && now - left_at_ >= options_.handover;
        millitokens kept = mine_first || closed ? ledger_.available(ask.resource, now) : nothing;
        reply.loans.push_back(ledger_.lend(ask, kept, now));
    }
    reply.progress = membership_.progress();
    return reply;
}

} // namespace banyanshunt
