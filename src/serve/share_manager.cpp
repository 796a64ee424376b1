#include "serve/share_manager.hpp"

#include <algorithm>

#include "coordination/host_ranking.hpp"
#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// No tokens are requested from a peer that sent nothing for this long; peers of other domains
/// report each `report_period` times the fleet size over `base_fleet_size`, so theirs is scaled.
constexpr milliseconds report_ttl{1500};
/// A loan across domains takes a few milliseconds; a host that has nothing to lend responds too.
constexpr milliseconds loan_timeout{25};
/// Rounds of token requests; each draws other lenders if those of the previous round had too
/// little.
constexpr int max_loan_rounds = 4;
constexpr std::size_t max_lenders = 3;
/// Longest wait of a request for this host's own share to refill.
constexpr milliseconds max_refill_wait{150};
/// A workspace's burst is split over so few hosts that each holds the tokens of three or four
/// requests: small pools run dry one by one while others are full. The fewer the owners, the more
/// the absence of one matters.
constexpr double min_share_depth_tokens = 5000;
/// A lender reserves this fraction (1/N) of its depth for its own callers.
constexpr std::int64_t reserve_divisor = 10;
/// Wait list key of requests that lack tokens.
constexpr const char* tokens_wait_key = "tokens";

} // namespace

void share_manager::update_shares()
{
    instant now = context_.now();
    context_.host_count = peers_.count_hosts(now);
    if (!context_.config || !usable(now))
    {
        return;
    }
    context_.ledger.confirm_until(share_layer::outage, instant::max());
    std::vector<ranked_host> hosts{
        {.host = context_.settings.name, .domain = context_.settings.domain}};
    for (const auto& [host, it] : peers_.all)
    {
        hosts.push_back({.host = host, .domain = it.domain});
    }
    for (const auto& [name, workspace] : context_.config->workspaces)
    {
        if (workspace.rate <= 0)
        {
            continue;
        }
        auto owner_count =
            static_cast<std::size_t>(std::clamp(workspace.burst / min_share_depth_tokens, 1.0,
                                                static_cast<double>(context_.host_count)));
        auto owners = first_in_ranking(name.str(), hosts, owner_count);
        bool is_owner =
            std::find(owners.begin(), owners.end(), context_.settings.name) != owners.end();
        auto split = [&](double total)
        {
            double own_amount = is_owner ? total / static_cast<double>(owner_count) : 0;
            return static_cast<std::int64_t>(own_amount * millitokens_per_token);
        };
        share_size size{.rate = millitokens_per_second(split(workspace.rate)),
                        .depth = millitokens(split(workspace.burst)),
                        .permits = false};
        context_.ledger.set_share(resource_id(name.str()), {.confirmed = {}, .outage = size}, false,
                                  now);
    }
}

std::set<share_number> share_manager::request_loans(const workspace_id& workspace,
                                                    millitokens missing)
{
    instant now = context_.now();
    double scale = context_.report_scale();
    std::vector<lender_offer> offers;
    for (const auto& [host, it] : peers_.all)
    {
        bool same_domain = it.domain == context_.settings.domain;
        auto lendable = it.lendable.find(workspace);
        if (lendable != it.lendable.end() &&
            now - it.received_at < report_ttl * (same_domain ? 1.0 : scale))
        {
            offers.push_back(
                {.host = host, .lendable = lendable->second, .same_domain = same_domain});
        }
    }
    std::set<share_number> requested;
    for (const auto& it : choose_lenders(std::move(offers), missing, max_lenders, context_.random))
    {
        auto& lender = peers_.all.at(it.host);
        auto request = context_.ledger.make_request(resource_id(workspace.str()), it.amount,
                                                    milliseconds(1), now);
        auto message = peers_.new_message();
        auto& to = *message.add_asks();
        to.set_number(request.number.count());
        to.set_workspace(workspace.str());
        to.set_millitokens(request.amount.count());
        to.set_waited_ms(request.waited.count());
        peers_.send(lender, message);
        lender.lendable[workspace] -= it.amount;
        requested.insert(request.number);
        pending_requests_.insert(request.number);
    }
    return requested;
}

task<bool> share_manager::acquire_or_borrow(const workspace_id& workspace, millitokens amount)
{
    resource_id resource(workspace.str());
    for (int round = 0; round <= max_loan_rounds; ++round)
    {
        instant now = context_.now();
        if (context_.ledger.acquire(resource, amount, now))
        {
            co_return true;
        }
        millitokens missing = amount - context_.ledger.available(resource, now);
        auto requested =
            round < max_loan_rounds ? request_loans(workspace, missing) : std::set<share_number>();
        if (requested.empty())
        {
            break;
        }
        instant until = now + loan_timeout;
        auto any_pending = [&]
        {
            return std::any_of(requested.begin(), requested.end(),
                               [&](const auto& it) { return pending_requests_.contains(it); });
        };
        while (context_.now() < until && any_pending() &&
               context_.ledger.available(resource, context_.now()) < amount)
        {
            co_await context_.waiting.wait(tokens_wait_key, 0, now, until - context_.now());
        }
        for (const auto& it : requested)
        {
            pending_requests_.erase(it);
        }
    }
    // A bucket that refills soon is waited for; a retry by the caller would take longer.
    instant now = context_.now();
    auto rate = context_.ledger.rate(resource, now).count();
    auto missing = (amount - context_.ledger.available(resource, now)).count();
    if (rate <= 0 || missing > rate * max_refill_wait.count() / 1000)
    {
        log_shortage(workspace, amount);
        co_return false;
    }
    co_await pause(milliseconds(missing * 1000 / rate + 1));
    co_return context_.ledger.acquire(resource, amount, context_.now());
}

task<bool> share_manager::acquire(workspace_id workspace, millitokens amount)
{
    if (!usable(context_.now()))
    {
        // No other host counts this host's share yet.
        co_return false;
    }
    resource_id resource(workspace.str());
    if (!context_.ledger.owns(resource))
    {
        update_shares();
    }
    ++acquiring_[workspace];
    bool acquired = co_await acquire_or_borrow(workspace, amount);
    if (--acquiring_[workspace] == 0)
    {
        acquiring_.erase(workspace);
        context_.ledger.return_loans(resource, context_.now());
    }
    send_loan_ends();
    co_return acquired;
}

void share_manager::add_ends(const host_incarnation& lender, peers::peer_message& message)
{
    for (const auto& it : context_.ledger.drain_reports(lender))
    {
        auto& end = *message.add_ends();
        end.set_loan(it.loan.count());
        end.set_returned(it.returned.count());
    }
}

void share_manager::send_loan_ends()
{
    for (const auto& lender : context_.ledger.lenders_to_notify())
    {
        auto found = peers_.all.find(lender.host);
        auto message = peers_.new_message();
        add_ends(lender, message);
        if (found != peers_.all.end() && found->second.incarnation == lender.incarnation)
        {
            peers_.send(found->second, message);
        }
    }
}

void share_manager::log_shortage(const workspace_id& workspace, millitokens amount)
{
    instant now = context_.now();
    resource_id resource(workspace.str());
    auto known = context_.config->workspaces.find(workspace);
    auto limit = known == context_.config->workspaces.end() ? workspace_spec() : known->second;
    millitokens lendable(0);
    for (const auto& [host, it] : peers_.all)
    {
        auto found = it.lendable.find(workspace);
        lendable += found == it.lendable.end() ? millitokens(0) : found->second;
    }
    context_.log.write("share_short",
                       "workspace={} cost={} level={} depth={} rate_per_s={} spare_told={} "
                       "fleet_rate_per_s={} fleet_burst={} hosts={}",
                       workspace.str(), amount.count() / millitokens_per_token,
                       context_.ledger.available(resource, now).count() / millitokens_per_token,
                       context_.ledger.depth(resource, now).count() / millitokens_per_token,
                       context_.ledger.rate(resource, now).count() / millitokens_per_token,
                       lendable.count() / millitokens_per_token, limit.rate, limit.burst,
                       context_.host_count);
}

void share_manager::fill_lendable(peers::peer_message& message, instant now)
{
    if (context_.config)
    {
        for (const auto& [name, workspace] : context_.config->workspaces)
        {
            resource_id resource(name.str());
            if (context_.ledger.depth(resource, now) <= millitokens(0))
            {
                continue;
            }
            auto& lendable = *message.mutable_report()->add_spare();
            lendable.set_workspace(name.str());
            auto left = context_.ledger.available(resource, now).count() / millitokens_per_token;
            lendable.set_tokens(static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
        }
    }
}

void share_manager::fill_report(const host_id& host, const peer& to, peers::peer_message& message,
                                instant now)
{
    fill_lendable(message, now);
    add_ends({.host = host, .incarnation = to.incarnation}, message);
}

void share_manager::handle_message(const host_id& from, peer& sender,
                                   const peers::peer_message& message)
{
    instant now = context_.now();
    host_incarnation peer_incarnation{.host = from, .incarnation = sender.incarnation};
    for (const auto& it : message.report().spare())
    {
        sender.lendable[workspace_id(it.workspace())] =
            tokens(static_cast<std::int64_t>(it.tokens()));
    }
    auto response = peers_.new_message();
    for (const auto& it : message.asks())
    {
        token_request request{.number = share_number(it.number()),
                              .resource = resource_id(it.workspace()),
                              .amount = millitokens(it.millitokens()),
                              .waited = milliseconds(it.waited_ms())};
        millitokens reserve(context_.ledger.depth(request.resource, now).count() / reserve_divisor);
        auto loan = context_.ledger.lend(request, reserve, now);
        auto& to = *response.add_loans();
        to.set_ask(loan.request.count());
        to.set_loan(loan.loan.count());
        to.set_workspace(loan.resource.str());
        to.set_millitokens(loan.amount.count());
        to.set_left(loan.remaining.count());
    }
    if (response.loans_size() > 0)
    {
        peers_.send(sender, response);
    }
    for (const auto& it : message.loans())
    {
        context_.ledger.accept_loan(peer_incarnation,
                                    {.request = share_number(it.ask()),
                                     .loan = share_number(it.loan()),
                                     .resource = resource_id(it.workspace()),
                                     .amount = millitokens(it.millitokens()),
                                     .remaining = millitokens(it.left())},
                                    now);
        sender.lendable[workspace_id(it.workspace())] = millitokens(it.left());
        pending_requests_.erase(share_number(it.ask()));
        ++context_.counters.loans;
        if (!acquiring_.contains(workspace_id(it.workspace())))
        {
            // The loan arrived too late for the request that needed it.
            context_.ledger.return_loans(resource_id(it.workspace()), now);
        }
    }
    if (message.loans_size() > 0)
    {
        context_.waiting.wake(tokens_wait_key);
        send_loan_ends();
    }
    for (const auto& it : message.ends())
    {
        context_.ledger.end_loan(
            {.loan = share_number(it.loan()), .returned = millitokens(it.returned())}, now);
    }
}

} // namespace banyanshunt
