/// \file
/// The calls of a host to its peers and its responses to theirs.

#include <algorithm>

#include "coordination/share_controller.hpp"

namespace banyanshunt
{
namespace
{

constexpr millitokens zero_tokens(0);
/// Unspent loans are returned in the last quarter of their duration, so that the lender can use
/// them.
constexpr int return_divisor = 4;
/// A peer counts as full above this percentage of its depth.
constexpr std::int64_t full_threshold_percent = 90;
/// The number of demand intervals for which surplus tokens of full peers are requested.
constexpr std::int64_t demand_spans_ahead = 1;

millitokens percent_of(millitokens amount, std::int64_t percent)
{
    return millitokens(amount.count() * percent / 100);
}

} // namespace

share_call& share_controller::call_to(const host_id& peer,
                                      std::map<host_id, share_call>& calls) const
{
    auto [it, inserted] = calls.try_emplace(peer);
    if (inserted)
    {
        it->second.from = options_.self;
        it->second.domain = options_.domain;
        it->second.leaving = leaving_;
    }
    return it->second;
}

millitokens share_controller::requested_from_peers(const resource_id& resource) const
{
    millitokens sum = zero_tokens;
    for (const auto& [host, peer] : peers_)
    {
        sum += peer.requested(resource);
    }
    return sum;
}

void share_controller::request_for_waiters(const resource_id& resource, demand& it, instant now,
                                           std::map<host_id, share_call>& calls)
{
    auto fleet = limits_.find(resource);
    auto need = waiting_demand(it, now);
    if (!need || fleet == limits_.end())
    {
        return;
    }
    millitokens missing = std::min(need->amount, fleet->second.depth) -
                          ledger_.available(resource, now) - requested_from_peers(resource);
    auto hosts = static_cast<std::int64_t>(peers_.size()) + 1;
    millitokens_per_second rate(fleet->second.rate.count() / hosts);
    millitokens depth(fleet->second.depth.count() / hosts);
    struct candidate
    {
        millitokens estimate;
        bool same_domain = false;
        host_id host;
    };
    std::vector<candidate> candidates;
    for (const auto& [host, peer] : peers_)
    {
        if (peer.may_request(resource, now))
        {
            candidates.push_back({.estimate = peer.estimate(resource, rate, depth, now),
                                  .same_domain = peer.domain() == options_.domain,
                                  .host = host});
        }
    }
    std::ranges::sort(
        candidates, [](const auto& a, const auto& b)
        { return std::tie(a.estimate, a.same_domain) > std::tie(b.estimate, b.same_domain); });
    auto waited = std::chrono::duration_cast<milliseconds>(now - need->since);
    for (const auto& lender : candidates)
    {
        if (missing <= zero_tokens)
        {
            return;
        }
        call_to(lender.host, calls)
            .requests.push_back(
                ledger_.make_request(resource, missing, std::max(waited, milliseconds(1)), now));
        missing -= lender.estimate;
    }
}

void share_controller::request_surplus(const resource_id& resource, demand& it, instant now,
                                       std::map<host_id, share_call>& calls)
{
    auto fleet = limits_.find(resource);
    if (fleet == limits_.end() || fleet->second.permits ||
        now - it.last_surplus_request < options_.top_up_period)
    {
        return;
    }
    millitokens demand_ahead(std::max(it.granted, it.granted_before).count() * demand_spans_ahead);
    millitokens wanted =
        demand_ahead - ledger_.available(resource, now) - requested_from_peers(resource);
    if (wanted <= zero_tokens)
    {
        return;
    }
    it.last_surplus_request = now;
    auto hosts = static_cast<std::int64_t>(peers_.size()) + 1;
    millitokens_per_second rate(fleet->second.rate.count() / hosts);
    millitokens depth(fleet->second.depth.count() / hosts);
    for (const auto& [host, peer] : peers_)
    {
        bool full =
            peer.estimate(resource, rate, depth, now) >= percent_of(depth, full_threshold_percent);
        if (peer.may_request(resource, now) && (full || peer.leaving()))
        {
            call_to(host, calls)
                .requests.push_back(ledger_.make_request(resource, wanted, milliseconds(0), now));
        }
    }
}

void share_controller::add_token_requests(instant now, std::map<host_id, share_call>& calls)
{
    if (leaving_ || !options_.may_borrow)
    {
        return;
    }
    for (auto& [resource, it] : demands_)
    {
        request_for_waiters(resource, it, now, calls);
        request_surplus(resource, it, now, calls);
    }
}

void share_controller::add_due_calls(instant now, std::map<host_id, share_call>& calls)
{
    auto due = ledger_.lenders_to_notify();
    for (const auto& [host, peer] : peers_)
    {
        if (peer.busy() || !peer.responsive())
        {
            continue;
        }
        bool has_reports =
            peer.incarnation() && std::ranges::find(due, *peer.incarnation()) != due.end();
        bool report_due = now - peer.last_call() >= options_.report_delay;
        if ((has_reports || !refunds_.empty()) && report_due)
        {
            call_to(host, calls);
        }
    }
    for (const auto& [host, peer] : peers_)
    {
        bool same_domain = peer.domain() == options_.domain;
        if (same_domain && !peer.busy() && now - peer.last_call() >= options_.heartbeat)
        {
            call_to(host, calls);
        }
    }
    // Each refund goes to one peer only: sent to two, it would allow the same tokens to be granted
    // twice.
    for (auto& [host, call] : calls)
    {
        if (refunds_.empty())
        {
            break;
        }
        auto first = refunds_.begin();
        last_number_ += share_number(1);
        call.refunds.push_back(
            {.number = last_number_, .resource = first->first, .amount = first->second});
        refunds_.erase(first);
    }
}

std::vector<outgoing_share_call> share_controller::outgoing_calls(instant now)
{
    refresh(now);
    ledger_.return_loans(now + options_.ledger.loan_duration / return_divisor, now);
    std::map<host_id, share_call> calls;
    add_token_requests(now, calls);
    add_due_calls(now, calls);
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

void share_controller::handle_response(const host_id& from, const share_response& response,
                                       instant call_start, instant now)
{
    auto it = peers_.find(from);
    if (it != peers_.end())
    {
        it->second.end_call(response, now);
    }
    if (response.domain == options_.domain)
    {
        membership_.record_peer(response.from, response.progress, call_start, now);
    }
    confirm(now);
    for (const auto& loan : response.loans)
    {
        ledger_.accept_loan(response.from, loan, now);
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
    share_response response{.from = options_.self,
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
        share_number& seen = last_refund_seen_[call.from];
        if (refund.number > seen)
        {
            seen = refund.number;
            ledger_.release(refund.resource, refund.amount, now);
        }
    }
    for (token_request request : call.requests)
    {
        auto own_demand = waiting_demand(demands_[request.resource], now);
        // If both hosts have waiting requests, the host whose request has waited longer gets the
        // tokens.
        bool own_demand_first = own_demand && now - own_demand->since >= request.waited;
        request.waited = leaving_ ? std::max(request.waited, milliseconds(1)) : request.waited;
        bool handover_over = leaving_ && now - left_at_ >= options_.handover;
        millitokens kept = own_demand_first || handover_over
                               ? ledger_.available(request.resource, now)
                               : zero_tokens;
        response.loans.push_back(ledger_.lend(request, kept, now));
    }
    response.progress = membership_.progress();
    return response;
}

} // namespace banyanshunt
