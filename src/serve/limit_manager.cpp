#include "serve/limit_manager.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "peers.pb.h"

namespace banyanshunt
{

namespace
{

/// How long a started host grants no permits: it does not know the other hosts yet.
constexpr milliseconds startup_duration{1000};
/// A granter in another domain responds within a few milliseconds.
constexpr milliseconds permit_timeout{50};
/// How long a host without a response waits before it asks again.
constexpr milliseconds retry_period{100};
/// How long a permit is valid. Counted from before the request for it, so a host that was paused
/// does not use an old one.
constexpr milliseconds permit_validity{500};
/// A peer's statement that a limit has ended counts as older by this than its age says, because the
/// datagram was in transit.
constexpr milliseconds transit_margin{50};
/// Wait list key of requests that wait for a permit.
constexpr const char* permits_wait_key = "permits";

std::uint32_t to_ms(nanoseconds length)
{
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(std::chrono::ceil<milliseconds>(length).count(), 0));
}

} // namespace

limit_manager::limit_manager(host_context& context, peer_list& peers, broadcast send_to_all)
    : context_(context), peers_(peers), send_to_all_(std::move(send_to_all)),
      started_(context.now()), requests_(context.incarnation)
{
}

host_id limit_manager::granter(const server_id& server) const
{
    instant now = context_.now();
    std::vector<host_id> hosts{context_.settings.name};
    for (const auto& [host, it] : peers_.all)
    {
        if (peers_.in_touch(it, now))
        {
            hosts.push_back(host);
        }
    }
    return permit_granter(server, hosts);
}

bool limit_manager::grants(const server_id& server) const
{
    return context_.now() - started_ >= startup_duration &&
           granter(server) == context_.settings.name;
}

permit_grant limit_manager::grant(const server_id& server, milliseconds max_wait)
{
    instant now = context_.now();
    auto limit = context_.servers.limits().rate(server);
    if (!limit)
    {
        return {.granted = true};
    }
    if (!grants(server))
    {
        return {.granted = false, .wait = retry_period};
    }
    auto rate = reachable_rate(*limit, peers_.count_in_touch(now), peers_.count_hosts(now));
    return ledger_.request(server, start_time(server), rate, max_wait, now);
}

std::int64_t limit_manager::start_time(const server_id& server) const
{
    const auto& limits = context_.servers.limits();
    auto stated = limits.statements().find(server);
    if (stated != limits.statements().end())
    {
        return stated->second.start_time_ms;
    }
    auto cold = limits.cold().find(server);
    return cold == limits.cold().end() ? 0 : cold->second.start_time_ms;
}

void limit_manager::write(const server_id& server, peers::limit_statement& to) const
{
    const auto& limits = context_.servers.limits();
    auto cold = limits.cold().find(server);
    if (cold != limits.cold().end())
    {
        to.set_born_ms(cold->second.start_time_ms);
        to.set_cold_millirequests_per_s(static_cast<std::uint64_t>(cold->second.rate.count()));
        to.set_cold_ms(to_ms(cold->second.until - context_.now()));
    }
    to.set_server(server.str());
    auto stated = limits.statements().find(server);
    if (stated == limits.statements().end())
    {
        to.set_only_cold(true);
        return;
    }
    const auto& known = stated->second;
    to.set_born_ms(known.start_time_ms);
    to.set_stated(known.rate.has_value());
    to.set_millirequests_per_s(
        static_cast<std::uint64_t>(known.rate.value_or(millirequests_per_second(0)).count()));
    to.set_age_ms(to_ms(context_.now() - known.at));
}

void limit_manager::apply(const peers::limit_statement& from, instant sent_at)
{
    server_id server(from.server());
    const auto* known = context_.servers.find(server);
    if (known && known->entry.start_time_ms > from.born_ms())
    {
        // An earlier incarnation stated it.
        return;
    }
    if (from.cold_ms() > 0)
    {
        apply_cold(server, from, sent_at);
    }
    if (from.only_cold())
    {
        charge_sent(server, from);
        return;
    }
    instant at = sent_at - milliseconds(from.age_ms());
    limit_statement statement{.start_time_ms = from.born_ms(), .rate = {}, .at = at};
    if (from.stated())
    {
        statement.rate =
            millirequests_per_second(static_cast<std::int64_t>(from.millirequests_per_s()));
    }
    else
    {
        statement.at -= transit_margin;
    }
    auto change = context_.servers.limits().record(server, statement);
    context_.log_limit_change(server, change, "peer");
    act_on(server, change);
    charge_sent(server, from);
}

void limit_manager::charge_sent(const server_id& server, const peers::limit_statement& from)
{
    auto rate = context_.servers.limits().rate(server);
    if (from.sent() > 0 && rate && grants(server))
    {
        ledger_.charge(server, from.born_ms(), *rate, static_cast<int>(from.sent()),
                       context_.now());
    }
}

void limit_manager::apply_cold(const server_id& server, const peers::limit_statement& from,
                               instant sent_at)
{
    auto& limits = context_.servers.limits();
    instant until = sent_at + milliseconds(from.cold_ms());
    if (limits.cold().contains(server) || until <= context_.now())
    {
        // The server's entry says the same, and until when.
        return;
    }
    limits.set_cold(server, {.start_time_ms = from.born_ms(),
                             .rate = millirequests_per_second(
                                 static_cast<std::int64_t>(from.cold_millirequests_per_s())),
                             .until = until});
    act_on(server, limit_change::began);
}

void limit_manager::charge_own_sends(const server_id& server)
{
    instant now = context_.now();
    int sent = context_.servers.limits().recent_sends(server, now);
    auto rate = context_.servers.limits().rate(server);
    if (sent == 0 || !rate)
    {
        return;
    }
    if (grants(server))
    {
        ledger_.charge(server, start_time(server), *rate, sent, now);
        return;
    }
    auto it = peers_.all.find(granter(server));
    if (it != peers_.all.end())
    {
        auto message = peers_.new_message();
        auto& statement = *message.add_limits();
        write(server, statement);
        statement.set_sent(static_cast<std::uint32_t>(sent));
        peers_.send(it->second, message);
    }
}

void limit_manager::act_on(const server_id& server, limit_change change)
{
    if (change == limit_change::began)
    {
        charge_own_sends(server);
    }
    else if (change == limit_change::ended && !context_.servers.limits().in_force(server))
    {
        ledger_.forget(server);
    }
    if (change != limit_change::none)
    {
        context_.waiting.wake_all();
    }
}

void limit_manager::announce(const server_id& server, limit_change change)
{
    if (change != limit_change::none)
    {
        auto message = peers_.new_message();
        write(server, *message.add_limits());
        send_to_all_(std::move(message));
    }
    act_on(server, change);
}

task<permit_response> limit_manager::acquire(server_id server, milliseconds max_wait)
{
    instant asked_at = context_.now();
    auto make_response = [&](const permit_grant& it)
    {
        return permit_response{.granted = it.granted,
                               .wait = std::chrono::ceil<milliseconds>(it.wait),
                               .valid_from = context_.now() + it.wait,
                               .valid_until = asked_at + it.wait + permit_validity};
    };
    auto host = granter(server);
    auto it = peers_.all.find(host);
    if (it == peers_.all.end() || !context_.servers.limits().in_force(server))
    {
        co_return make_response(grant(server, max_wait));
    }
    auto number = requests_.begin(host);
    auto message = peers_.new_message();
    auto& request = *message.add_permit_requests();
    request.set_number(number);
    request.set_max_wait_ms(to_ms(max_wait));
    write(server, *request.mutable_limit());
    peers_.send(it->second, message);
    while (!requests_.has_response(number) && context_.now() < asked_at + permit_timeout)
    {
        co_await context_.waiting.wait(permits_wait_key, 0, asked_at,
                                       asked_at + permit_timeout - context_.now());
    }
    auto response = requests_.end(number);
    context_.stats.increment("banyanshunt_permits_total",
                             {{"result", !response           ? "unanswered"
                                         : response->granted ? "granted"
                                                             : "refused"}});
    co_return make_response(
        response.value_or(permit_grant{.granted = false, .wait = retry_period}));
}

void limit_manager::handle_message(peer& sender, const peers::peer_message& message,
                                   instant sent_at)
{
    for (const auto& it : message.limits())
    {
        apply(it, sent_at);
    }
    auto response = peers_.new_message();
    for (const auto& it : message.permit_requests())
    {
        apply(it.limit(), sent_at);
        server_id server(it.limit().server());
        auto result = grant(server, milliseconds(it.max_wait_ms()));
        auto& to = *response.add_permit_responses();
        to.set_number(it.number());
        to.set_granted(result.granted);
        to.set_wait_ms(to_ms(result.wait));
        if (context_.servers.limits().statements().contains(server) ||
            context_.servers.limits().cold().contains(server))
        {
            write(server, *to.mutable_limit());
        }
    }
    if (response.permit_responses_size() > 0)
    {
        peers_.send(sender, response);
    }
    for (const auto& it : message.permit_responses())
    {
        if (it.has_limit())
        {
            apply(it.limit(), sent_at);
        }
        requests_.record(host_id(message.host()), it.number(),
                         {.granted = it.granted(), .wait = milliseconds(it.wait_ms())});
    }
    if (message.permit_responses_size() > 0)
    {
        context_.waiting.wake(permits_wait_key);
    }
}

void limit_manager::update_granted()
{
    granted_.clear();
    for (const auto& [server, it] : context_.servers.limits().statements())
    {
        if (it.rate && grants(server))
        {
            granted_.push_back(server);
        }
        else
        {
            // A former granter starts anew if it becomes the granter again.
            ledger_.forget(server);
        }
    }
}

void limit_manager::fill_report(peers::peer_message& message) const
{
    const auto& limits = context_.servers.limits();
    for (const auto& server : granted_)
    {
        if (limits.in_force(server))
        {
            write(server, *message.add_limits());
        }
    }
}

} // namespace banyanshunt
