#include "serve/peer_duty.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "coordination/rendezvous.hpp"
#include "peers.pb.h"

namespace banyanshunt
{

using asio::ip::udp;

namespace
{

/// Reports go to peers of the own domain this often, and to others so often that a fleet's reports
/// cost no more than those of `report_fleet` hosts do at this period: bytes between domains have a
/// price.
constexpr milliseconds report_period{250};
constexpr double report_fleet = 9;
constexpr milliseconds placement_period{1500};
/// Hosts learn of each other by datagrams within a report's period; the list is for those that
/// start.
constexpr milliseconds hosts_wait{30000};
constexpr milliseconds hosts_gap{1000};
/// How long a host that starts waits for the list before it registers.
constexpr milliseconds list_patience{500};
/// A host registers again this often, and one that did not for `listed_for` is gone.
constexpr milliseconds register_period{30000};
constexpr milliseconds listed_for{100000};
/// A peer from which nothing was heard for this long is not asked for tokens.
constexpr milliseconds heard_for{1500};
/// How long after its registration a host begins to use its shares: by then the others know it.
constexpr milliseconds share_delay{1500};
/// A loan across domains takes a few milliseconds; a host that has none answers too.
constexpr milliseconds loan_patience{25};
constexpr int loan_rounds = 2;
/// How long a request waits for this host's own share to fill.
constexpr milliseconds refill_patience{150};
constexpr std::size_t most_lenders = 4;
/// A workspace's burst is split over so many hosts that each can hold some requests' tokens.
constexpr double least_depth_tokens = 4000;
/// The part of its depth that a lender keeps for its own callers.
constexpr std::int64_t kept_part = 10;
/// What requests wait for that lack tokens.
constexpr const char* tokens_wait = "tokens";
constexpr std::size_t datagram_bytes = 65536;

std::uint32_t ms_until(instant at, instant now)
{
    auto left = std::chrono::ceil<milliseconds>(at - now).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

void write_placement(const server_id& server, const server_placement& from, instant now,
                     peers::placement& to)
{
    to.set_server(server.str());
    to.set_born_ms(from.born_ms);
    to.set_fence(from.fence.count());
    to.set_room_in_ms(ms_until(from.room_at, now));
    to.set_adapter_room(from.adapter_room);
    for (const auto& [id, model] : from.models)
    {
        auto& held = *to.add_models();
        held.set_model(id.str());
        held.set_ready_in_ms(ms_until(model.ready_at, now));
        held.set_leaving(model.leaving);
        for (const auto& [adapter, ready_at] : model.adapters)
        {
            auto& it = *held.add_adapters();
            it.set_name(adapter.str());
            it.set_ready_in_ms(ms_until(ready_at, now));
        }
    }
}

server_placement read_placement(const peers::placement& from, const host_id& owner, instant now)
{
    server_placement to;
    to.owner = owner;
    to.fence = fencing_number(from.fence());
    to.born_ms = from.born_ms();
    to.room_at = now + milliseconds(from.room_in_ms());
    to.adapter_room = from.adapter_room();
    to.told_at = now;
    for (const auto& it : from.models())
    {
        held_model held{.ready_at = now + milliseconds(it.ready_in_ms()),
                        .adapters = {},
                        .leaving = it.leaving()};
        for (const auto& adapter : it.adapters())
        {
            held.adapters.emplace(adapter_id(adapter.name()),
                                  now + milliseconds(adapter.ready_in_ms()));
        }
        to.models.emplace(model_id(it.model()), std::move(held));
    }
    return to;
}

} // namespace

peer_duty::peer_duty(host_core& core)
    : core_(core), orders_(core, [this](const server_id& server, const server_placement& it)
                           { tell_placement(server, it); }),
      hosts_(core, {.topic = platform::host_topic, .wait = hosts_wait, .gap = hosts_gap},
             {.whole =
                  [this](const auto& records)
              {
                  for (const auto& record : records)
                  {
                      take_host(record);
                  }
                  listed_ = true;
              },
              .record = [this](const auto& record) { take_host(record); },
              .confirmed = [](instant) {}}),
      socket_(core.executor), buffer_(datagram_bytes)
{
    core_.on_config = [this] { match_shares(); };
}

peer_duty::~peer_duty() = default;

void peer_duty::start()
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address_v4(core_.settings.ip, ec);
    socket_.open(udp::v4(), ec);
    socket_.bind({address, static_cast<std::uint16_t>(core_.settings.first_peer_port)}, ec);
    if (ec)
    {
        core_.log.write("listen_failed", "address={}:{} detail=\"{}\"", core_.settings.ip,
                        core_.settings.first_peer_port, ec.message());
    }
    asio::co_spawn(core_.executor, receive(), asio::detached);
    asio::co_spawn(core_.executor, report_loop(), asio::detached);
    asio::co_spawn(core_.executor, register_loop(), asio::detached);
    asio::co_spawn(core_.executor, hosts_.run(), asio::detached);
    orders_.start();
}

task<void> peer_duty::leave()
{
    co_await orders_.leave();
}

task<void> peer_duty::register_loop()
{
    call_link link(core_.settings.log.address);
    auto call = platform::put_call(
        platform::host_topic,
        {.key = core_.settings.name.str(),
         .value = fmt::format("{}:{} {} {}", core_.settings.ip, core_.settings.first_peer_port,
                              core_.settings.domain.str(), core_.life.count())});
    milliseconds again{100};
    // An earlier life's record must be seen before this one's takes its place.
    instant latest = core_.now() + list_patience;
    while (!listed_ && core_.now() < latest)
    {
        co_await pause(milliseconds(5));
    }
    while (true)
    {
        auto answer = co_await link.call(call.method, call.target, call.body, milliseconds(1000));
        if (answer && answer->status == 200)
        {
            if (!shares_from_)
            {
                shares_from_ = core_.now() + share_delay;
                core_.log.write("host_registered", "host={}", core_.settings.name.str());
            }
            co_await pause(share_delay);
            match_shares();
            co_await pause(register_period);
            again = milliseconds(100);
            continue;
        }
        co_await pause(again);
        again = std::min(again * 2, milliseconds(2000));
    }
}

void peer_duty::take_host(const platform::keyed_record& record)
{
    host_id host(record.key);
    if (!record.value)
    {
        return;
    }
    auto space = record.value->find(' ');
    auto second = record.value->find(' ', space + 1);
    auto address = to_endpoint(endpoint_text(record.value->substr(0, space)));
    if (space == std::string::npos || second == std::string::npos || address.port() == 0)
    {
        core_.log.write("host_entry_refused", "host={}", host.str());
        return;
    }
    if (host == core_.settings.name)
    {
        bool earlier_life = record.value->substr(second + 1) != fmt::to_string(core_.life.count());
        if (earlier_life && !shares_from_)
        {
            // The others count this host already. Its share begins empty, so what an earlier life
            // spent is not granted again.
            shares_from_ = core_.now();
            match_shares();
        }
        return;
    }
    peer& it = peers_[host];
    it.address = {address.address(), address.port()};
    it.domain = domain_id(record.value->substr(space + 1, second - space - 1));
    it.listed_at = core_.now();
    match_shares();
}

std::size_t peer_duty::count_hosts(instant now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(peers_.begin(), peers_.end(),
                                 [&](const auto& it) {
                                     return now - it.second.listed_at < listed_for ||
                                            now - it.second.heard_at < listed_for;
                                 }));
}

void peer_duty::match_shares()
{
    instant now = core_.now();
    core_.hosts = count_hosts(now);
    if (!core_.config || !shares_from_ || now < *shares_from_)
    {
        return;
    }
    core_.ledger.confirm_until(share_layer::outage, instant::max());
    for (const auto& [name, workspace] : core_.config->workspaces)
    {
        resource_id resource(name.str());
        if (workspace.rate <= 0)
        {
            continue;
        }
        // A workspace with a small burst is split over few hosts, the others borrow from them.
        auto parts = static_cast<std::size_t>(std::clamp(workspace.burst / least_depth_tokens, 1.0,
                                                         static_cast<double>(core_.hosts)));
        const std::string& key = name.str();
        auto own = rendezvous_weight(key, core_.settings.name.str());
        auto ahead = std::count_if(peers_.begin(), peers_.end(),
                                   [&key, own](const auto& it)
                                   { return rendezvous_weight(key, it.first.str()) > own; });
        bool holds = static_cast<std::size_t>(ahead) < parts;
        auto split = [&](double whole)
        {
            double part = holds ? whole / static_cast<double>(parts) : 0;
            return static_cast<std::int64_t>(part * millitokens_in_token);
        };
        share_size size{.rate = millitokens_per_second(split(workspace.rate)),
                        .depth = millitokens(split(workspace.burst)),
                        .places = false};
        core_.ledger.set_share(resource, {.confirmed = {}, .outage = size}, false, now);
    }
}

peers::peer_message peer_duty::new_message() const
{
    peers::peer_message message;
    message.set_host(core_.settings.name.str());
    message.set_domain(core_.settings.domain.str());
    message.set_life(static_cast<std::uint64_t>(core_.life.count()));
    return message;
}

void peer_duty::send(const peer& to, peers::peer_message& message)
{
    std::string bytes = message.SerializeAsString();
    boost::system::error_code ec;
    // A datagram that cannot go out is lost like any other.
    socket_.send_to(asio::buffer(bytes), to.address, 0, ec);
}

task<void> peer_duty::receive()
{
    while (true)
    {
        udp::endpoint from;
        auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(buffer_), from, as_result);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
        {
            co_return;
        }
        peers::peer_message message;
        if (ec || !message.ParseFromArray(buffer_.data(), static_cast<int>(n)))
        {
            continue;
        }
        take(message, from);
    }
}

void peer_duty::take(const peers::peer_message& message, const udp::endpoint& from)
{
    host_id host(message.host());
    if (host.empty() || host == core_.settings.name)
    {
        return;
    }
    bool is_new = !peers_.contains(host);
    peer& sender = peers_[host];
    sender.address = from;
    sender.domain = domain_id(message.domain());
    sender.life = incarnation(static_cast<std::int64_t>(message.life()));
    sender.heard_at = core_.now();
    if (is_new)
    {
        core_.log.write("peer_heard", "host={} domain={}", host.str(), sender.domain.str());
        match_shares();
    }
    if (message.has_report())
    {
        take_report(host, sender, message);
    }
    for (const auto& it : message.placements())
    {
        core_.servers.apply_placement(server_id(it.server()),
                                      read_placement(it, host, core_.now()));
        for (const auto& model : it.models())
        {
            core_.waiting.wake(model.model());
        }
    }
    for (const auto& it : message.wishes())
    {
        orders_.wish(server_id(it.server()),
                     {.model = model_id(it.model()), .adapter = adapter_id(it.adapter())},
                     milliseconds(it.waited_ms()));
    }
    take_loans(host, sender, message);
}

void peer_duty::take_report(const host_id& from, peer& sender, const peers::peer_message& message)
{
    instant now = core_.now();
    for (const auto& it : message.report().servers())
    {
        server_id server(it.server());
        core_.servers.apply_peer_use(from, server, static_cast<int>(it.running()), now);
        for (const auto& use : it.units())
        {
            orders_.note_use(from, server,
                             {.model = model_id(use.model()), .adapter = adapter_id(use.adapter())},
                             static_cast<int>(use.running()), static_cast<int>(use.asked()));
        }
    }
    for (const auto& it : message.report().spare())
    {
        sender.spare[workspace_id(it.workspace())] = tokens(static_cast<std::int64_t>(it.tokens()));
    }
}

void peer_duty::take_loans(const host_id& from, peer& sender, const peers::peer_message& message)
{
    instant now = core_.now();
    share_life life{.host = from, .life = sender.life};
    auto answer = new_message();
    for (const auto& it : message.asks())
    {
        token_ask ask{.number = share_number(it.number()),
                      .resource = resource_id(it.workspace()),
                      .amount = millitokens(it.millitokens()),
                      .waited = milliseconds(it.waited_ms())};
        millitokens kept(core_.ledger.depth(ask.resource, now).count() / kept_part);
        auto loan = core_.ledger.lend(ask, kept, now);
        auto& to = *answer.add_loans();
        to.set_ask(loan.ask.count());
        to.set_loan(loan.loan.count());
        to.set_workspace(loan.resource.str());
        to.set_millitokens(loan.amount.count());
        to.set_left(loan.left.count());
    }
    if (answer.loans_size() > 0)
    {
        send(sender, answer);
    }
    for (const auto& it : message.loans())
    {
        core_.ledger.borrow(life,
                            {.ask = share_number(it.ask()),
                             .loan = share_number(it.loan()),
                             .resource = resource_id(it.workspace()),
                             .amount = millitokens(it.millitokens()),
                             .left = millitokens(it.left())},
                            now);
        sender.spare[workspace_id(it.workspace())] = millitokens(it.left());
        ++core_.counters.loans;
    }
    if (message.loans_size() > 0)
    {
        core_.waiting.wake(tokens_wait);
    }
    for (const auto& it : message.ends())
    {
        core_.ledger.end_loan(
            {.loan = share_number(it.loan()), .returned = millitokens(it.returned())}, now);
    }
}

void peer_duty::report_to(const host_id& host, peer& to, instant now)
{
    auto message = new_message();
    auto& report = *message.mutable_report();
    for (const auto& [id, it] : core_.servers.servers())
    {
        bool its_owner = it.placement && it.placement->owner == host;
        if (it.running == 0 && !its_owner && it.told_running == 0)
        {
            continue;
        }
        auto& use = *report.add_servers();
        use.set_server(id.str());
        use.set_running(static_cast<std::uint32_t>(it.running));
        if (!its_owner)
        {
            continue;
        }
        for (const auto& [unit, asked] : it.asked_units)
        {
            auto& to_unit = *use.add_units();
            to_unit.set_model(unit.model.str());
            to_unit.set_adapter(unit.adapter.str());
            to_unit.set_asked(static_cast<std::uint32_t>(asked));
            auto running = it.running_units.find(unit);
            to_unit.set_running(running == it.running_units.end()
                                    ? 0
                                    : static_cast<std::uint32_t>(running->second));
        }
    }
    for (const auto& [name, workspace] :
         core_.config ? core_.config->workspaces : std::map<workspace_id, workspace_spec>())
    {
        resource_id resource(name.str());
        if (core_.ledger.owns(resource))
        {
            auto& spare = *report.add_spare();
            spare.set_workspace(name.str());
            auto left = core_.ledger.available(resource, now).count() / millitokens_in_token;
            spare.set_tokens(static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
        }
    }
    for (const auto& it : core_.ledger.take_reports({.host = host, .life = to.life}))
    {
        auto& end = *message.add_ends();
        end.set_loan(it.loan.count());
        end.set_returned(it.returned.count());
    }
    send(to, message);
}

task<void> peer_duty::report_loop()
{
    instant placements_at = core_.now();
    while (true)
    {
        co_await pause(report_period);
        instant now = core_.now();
        core_.ledger.expire(now);
        core_.servers.expire_told(now);
        double stretch = std::max(1.0, static_cast<double>(core_.hosts) / report_fleet);
        for (auto& [host, it] : peers_)
        {
            if (now < it.report_at)
            {
                continue;
            }
            bool near = it.domain == core_.settings.domain;
            it.report_at =
                now +
                std::chrono::duration_cast<nanoseconds>(report_period * (near ? 1.0 : stretch)) -
                report_period / 4;
            report_to(host, it, now);
        }
        core_.servers.note_reported();
        for (const auto& [id, it] : core_.servers.servers())
        {
            if (!orders_.orders(id))
            {
                continue;
            }
            for (const auto& [unit, asked] : it.asked_units)
            {
                auto running = it.running_units.find(unit);
                orders_.note_use(core_.settings.name, id, unit,
                                 running == it.running_units.end() ? 0 : running->second, asked);
            }
        }
        core_.servers.forget_asked();
        if (now - placements_at > placement_period * stretch)
        {
            placements_at = now;
            orders_.tell_all();
        }
    }
}

void peer_duty::tell_placement(const server_id& server, const server_placement& placement)
{
    auto message = new_message();
    write_placement(server, placement, core_.now(), *message.add_placements());
    std::string bytes = message.SerializeAsString();
    for (const auto& [host, it] : peers_)
    {
        boost::system::error_code ec;
        socket_.send_to(asio::buffer(bytes), it.address, 0, ec);
    }
}

void peer_duty::wish(const server_id& server, const engine_unit& unit, milliseconds waited)
{
    if (orders_.orders(server))
    {
        orders_.wish(server, unit, waited);
        return;
    }
    const auto* known = core_.servers.find(server);
    if (!known || !known->placement)
    {
        return;
    }
    auto owner = peers_.find(known->placement->owner);
    if (owner == peers_.end())
    {
        return;
    }
    auto message = new_message();
    auto& it = *message.add_wishes();
    it.set_server(server.str());
    it.set_model(unit.model.str());
    it.set_adapter(unit.adapter.str());
    it.set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    send(owner->second, message);
}

std::size_t peer_duty::ask_peers(const workspace_id& workspace, millitokens missing)
{
    instant now = core_.now();
    std::vector<std::pair<millitokens, peer*>> lenders;
    for (auto& [host, it] : peers_)
    {
        auto spare = it.spare.find(workspace);
        if (now - it.heard_at < heard_for && spare != it.spare.end() &&
            spare->second > millitokens(0))
        {
            lenders.emplace_back(spare->second, &it);
        }
    }
    std::sort(lenders.begin(), lenders.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    std::size_t asked = 0;
    for (auto& [spare, it] : lenders)
    {
        if (asked == most_lenders || missing <= millitokens(0))
        {
            break;
        }
        millitokens amount = std::min(spare, missing);
        auto ask = core_.ledger.ask(resource_id(workspace.str()), amount, milliseconds(1), now);
        auto message = new_message();
        auto& to = *message.add_asks();
        to.set_number(ask.number.count());
        to.set_workspace(workspace.str());
        to.set_millitokens(ask.amount.count());
        to.set_waited_ms(ask.waited.count());
        send(*it, message);
        it->spare[workspace] -= amount;
        missing -= amount;
        ++asked;
    }
    return asked;
}

task<bool> peer_duty::take_tokens(workspace_id workspace, millitokens amount)
{
    resource_id resource(workspace.str());
    if (!shares_from_ || core_.now() < *shares_from_)
    {
        // Nobody counts this host's share yet.
        co_return false;
    }
    if (!core_.ledger.owns(resource))
    {
        match_shares();
    }
    for (int round = 0; round <= loan_rounds; ++round)
    {
        instant now = core_.now();
        if (core_.ledger.take(resource, amount, now))
        {
            co_return true;
        }
        millitokens missing = amount - core_.ledger.available(resource, now);
        if (round == loan_rounds || ask_peers(workspace, missing) == 0)
        {
            break;
        }
        instant until = now + loan_patience;
        while (core_.now() < until && core_.ledger.available(resource, core_.now()) < amount)
        {
            co_await core_.waiting.wait(tokens_wait, 0, now, until - core_.now());
        }
    }
    // A bucket that fills soon is waited for; the caller's way back would take longer.
    instant now = core_.now();
    auto rate = core_.ledger.rate(resource, now).count();
    auto missing = (amount - core_.ledger.available(resource, now)).count();
    if (rate <= 0 || missing > rate * refill_patience.count() / 1000)
    {
        co_return false;
    }
    co_await pause(milliseconds(missing * 1000 / rate + 1));
    co_return core_.ledger.take(resource, amount, core_.now());
}

} // namespace banyanshunt
