#include "serve/share_manager.hpp"

#include <algorithm>

#include "coordination/share_owners.hpp"
#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// A peer from which nothing was heard for this long is not asked for tokens; peers of other
/// domains report each `report_period` times the size of the fleet over `base_fleet_size`.
constexpr milliseconds heard_for{1500};
/// A loan across domains takes a few milliseconds; a host that has none answers too.
constexpr milliseconds loan_patience{25};
/// Rounds of asking; each draws other lenders if those of the round before had too little.
constexpr int loan_rounds = 4;
constexpr std::size_t most_lenders = 3;
/// How long a request waits for this host's own share to fill.
constexpr milliseconds refill_patience{150};
/// A workspace's burst is split over so few hosts that each holds the tokens of three or four
/// requests: small pools run dry one by one while others are full, and few owners are missed more.
constexpr double least_depth_tokens = 5000;
/// The part of its depth that a lender keeps for its own callers.
constexpr std::int64_t kept_part = 10;
/// What requests wait for that lack tokens.
constexpr const char* tokens_wait = "tokens";

} // namespace

void share_manager::update_shares()
{
    instant now = core_.now();
    core_.host_count = peers_.count_hosts(now);
    if (!core_.config || !begin_at_ || now < *begin_at_)
    {
        return;
    }
    core_.ledger.confirm_until(share_layer::outage, instant::max());
    std::vector<share_member> members{
        {.host = core_.settings.name, .domain = core_.settings.domain}};
    for (const auto& [host, it] : peers_.all)
    {
        members.push_back({.host = host, .domain = it.domain});
    }
    for (const auto& [name, workspace] : core_.config->workspaces)
    {
        if (workspace.rate <= 0)
        {
            continue;
        }
        auto parts = static_cast<std::size_t>(std::clamp(workspace.burst / least_depth_tokens, 1.0,
                                                         static_cast<double>(core_.host_count)));
        auto homes = share_owners(name, members, parts);
        bool holds = std::find(homes.begin(), homes.end(), core_.settings.name) != homes.end();
        auto split = [&](double whole)
        {
            double part = holds ? whole / static_cast<double>(parts) : 0;
            return static_cast<std::int64_t>(part * millitokens_per_token);
        };
        share_size size{.rate = millitokens_per_second(split(workspace.rate)),
                        .depth = millitokens(split(workspace.burst)),
                        .permits = false};
        core_.ledger.set_share(resource_id(name.str()), {.confirmed = {}, .outage = size}, false,
                               now);
    }
}

std::set<share_number> share_manager::ask(const workspace_id& workspace, millitokens missing)
{
    instant now = core_.now();
    double stretch = core_.report_scale();
    std::vector<lender_offer> offers;
    for (const auto& [host, it] : peers_.all)
    {
        bool near = it.domain == core_.settings.domain;
        auto spare = it.lendable.find(workspace);
        if (spare != it.lendable.end() && now - it.received_at < heard_for * (near ? 1.0 : stretch))
        {
            offers.push_back({.host = host, .lendable = spare->second, .same_domain = near});
        }
    }
    std::set<share_number> asked;
    for (const auto& it : choose_lenders(std::move(offers), missing, most_lenders, core_.random))
    {
        auto& lender = peers_.all.at(it.host);
        auto ask = core_.ledger.make_request(resource_id(workspace.str()), it.amount,
                                             milliseconds(1), now);
        auto message = peers_.new_message();
        auto& to = *message.add_asks();
        to.set_number(ask.number.count());
        to.set_workspace(workspace.str());
        to.set_millitokens(ask.amount.count());
        to.set_waited_ms(ask.waited.count());
        peers_.send(lender, message);
        lender.lendable[workspace] -= it.amount;
        asked.insert(ask.number);
        open_asks_.insert(ask.number);
    }
    return asked;
}

task<bool> share_manager::gather(const workspace_id& workspace, millitokens amount)
{
    resource_id resource(workspace.str());
    for (int round = 0; round <= loan_rounds; ++round)
    {
        instant now = core_.now();
        if (core_.ledger.acquire(resource, amount, now))
        {
            co_return true;
        }
        millitokens missing = amount - core_.ledger.available(resource, now);
        auto asked = round < loan_rounds ? ask(workspace, missing) : std::set<share_number>();
        if (asked.empty())
        {
            break;
        }
        instant until = now + loan_patience;
        auto any_open = [&]
        {
            return std::any_of(asked.begin(), asked.end(),
                               [&](const auto& it) { return open_asks_.contains(it); });
        };
        while (core_.now() < until && any_open() &&
               core_.ledger.available(resource, core_.now()) < amount)
        {
            co_await core_.waiting.wait(tokens_wait, 0, now, until - core_.now());
        }
        for (const auto& it : asked)
        {
            open_asks_.erase(it);
        }
    }
    // A bucket that fills soon is waited for; the caller's way back would take longer.
    instant now = core_.now();
    auto rate = core_.ledger.rate(resource, now).count();
    auto missing = (amount - core_.ledger.available(resource, now)).count();
    if (rate <= 0 || missing > rate * refill_patience.count() / 1000)
    {
        log_short(workspace, amount);
        co_return false;
    }
    co_await pause(milliseconds(missing * 1000 / rate + 1));
    co_return core_.ledger.acquire(resource, amount, core_.now());
}

task<bool> share_manager::acquire(workspace_id workspace, millitokens amount)
{
    if (!begin_at_ || core_.now() < *begin_at_)
    {
        // Nobody counts this host's share yet.
        co_return false;
    }
    resource_id resource(workspace.str());
    if (!core_.ledger.owns(resource))
    {
        update_shares();
    }
    ++gathering_[workspace];
    bool taken = co_await gather(workspace, amount);
    if (--gathering_[workspace] == 0)
    {
        gathering_.erase(workspace);
        core_.ledger.return_loans(resource, core_.now());
    }
    tell_ends();
    co_return taken;
}

void share_manager::add_ends(const host_incarnation& lender, peers::peer_message& message)
{
    for (const auto& it : core_.ledger.drain_reports(lender))
    {
        auto& end = *message.add_ends();
        end.set_loan(it.loan.count());
        end.set_returned(it.returned.count());
    }
}

void share_manager::tell_ends()
{
    for (const auto& lender : core_.ledger.lenders_to_notify())
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

void share_manager::log_short(const workspace_id& workspace, millitokens amount)
{
    instant now = core_.now();
    resource_id resource(workspace.str());
    auto known = core_.config->workspaces.find(workspace);
    auto limit = known == core_.config->workspaces.end() ? workspace_spec() : known->second;
    millitokens spare(0);
    for (const auto& [host, it] : peers_.all)
    {
        auto found = it.lendable.find(workspace);
        spare += found == it.lendable.end() ? millitokens(0) : found->second;
    }
    core_.log.write("share_short",
                    "workspace={} cost={} level={} depth={} rate_per_s={} spare_told={} "
                    "fleet_rate_per_s={} fleet_burst={} hosts={}",
                    workspace.str(), amount.count() / millitokens_per_token,
                    core_.ledger.available(resource, now).count() / millitokens_per_token,
                    core_.ledger.depth(resource, now).count() / millitokens_per_token,
                    core_.ledger.rate(resource, now).count() / millitokens_per_token,
                    spare.count() / millitokens_per_token, limit.rate, limit.burst,
                    core_.host_count);
}

void share_manager::fill_lendable(peers::peer_message& message, instant now)
{
    if (core_.config)
    {
        for (const auto& [name, workspace] : core_.config->workspaces)
        {
            resource_id resource(name.str());
            if (core_.ledger.depth(resource, now) <= millitokens(0))
            {
                continue;
            }
            auto& spare = *message.mutable_report()->add_spare();
            spare.set_workspace(name.str());
            auto left = core_.ledger.available(resource, now).count() / millitokens_per_token;
            spare.set_tokens(static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
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
    instant now = core_.now();
    host_incarnation life{.host = from, .incarnation = sender.incarnation};
    for (const auto& it : message.report().spare())
    {
        sender.lendable[workspace_id(it.workspace())] =
            tokens(static_cast<std::int64_t>(it.tokens()));
    }
    auto answer = peers_.new_message();
    for (const auto& it : message.asks())
    {
        token_request ask{.number = share_number(it.number()),
                          .resource = resource_id(it.workspace()),
                          .amount = millitokens(it.millitokens()),
                          .waited = milliseconds(it.waited_ms())};
        millitokens kept(core_.ledger.depth(ask.resource, now).count() / kept_part);
        auto loan = core_.ledger.lend(ask, kept, now);
        auto& to = *answer.add_loans();
        to.set_ask(loan.request.count());
        to.set_loan(loan.loan.count());
        to.set_workspace(loan.resource.str());
        to.set_millitokens(loan.amount.count());
        to.set_left(loan.remaining.count());
    }
    if (answer.loans_size() > 0)
    {
        peers_.send(sender, answer);
    }
    for (const auto& it : message.loans())
    {
        core_.ledger.accept_loan(life,
                                 {.request = share_number(it.ask()),
                                  .loan = share_number(it.loan()),
                                  .resource = resource_id(it.workspace()),
                                  .amount = millitokens(it.millitokens()),
                                  .remaining = millitokens(it.left())},
                                 now);
        sender.lendable[workspace_id(it.workspace())] = millitokens(it.left());
        open_asks_.erase(share_number(it.ask()));
        ++core_.counters.loans;
        if (!gathering_.contains(workspace_id(it.workspace())))
        {
            // It came too late for the request that asked.
            core_.ledger.return_loans(resource_id(it.workspace()), now);
        }
    }
    if (message.loans_size() > 0)
    {
        core_.waiting.wake(tokens_wait);
        tell_ends();
    }
    for (const auto& it : message.ends())
    {
        core_.ledger.end_loan(
            {.loan = share_number(it.loan()), .returned = millitokens(it.returned())}, now);
    }
}

} // namespace banyanshunt
