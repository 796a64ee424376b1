#include "serve/peer_service.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include "peers.pb.h"

namespace banyanshunt
{

using asio::ip::udp;

namespace
{

/// Reports go to peers of the own domain this often while the domain is no larger than
/// `near_hosts`, and to others while the fleet is no larger than `far_hosts`; in larger ones so
/// much less often that a host's datagrams stay about the same: 80 a second.
constexpr milliseconds report_period{250};
constexpr double near_hosts = 20;
constexpr double far_hosts = 27;
/// Placements that did not change are told again this often, stretched like reports.
constexpr milliseconds placement_period{1500};
/// Hosts of another domain that get a datagram for all of that domain; two, as any may be away.
constexpr std::size_t relays_in_domain = 2;
/// What peers told counts for so many of their periods.
constexpr int told_periods = 4;
/// Hosts learn of each other by datagrams within a report's period; the list is for those that
/// start: read often until `start_length` has passed, when all hosts of a fleet that starts at once
/// have registered.
constexpr milliseconds hosts_wait{30000};
constexpr milliseconds starting_gap{1000};
constexpr milliseconds running_gap{12000};
constexpr milliseconds start_length{6000};
/// How long a host that starts waits for the list before it registers.
constexpr milliseconds list_patience{500};
/// A host registers again this often; one that did not three times is gone.
constexpr milliseconds register_period{30000};
/// How long after its registration a host begins to use its shares: by then the others know it.
constexpr milliseconds share_delay{1500};
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
    to.set_born_ms(from.start_time_ms);
    to.set_fence(from.fencing.count());
    to.set_room_in_ms(ms_until(from.next_load_at, now));
    to.set_adapter_room(from.adapter_room);
    for (const auto& [id, model] : from.models)
    {
        auto& held = *to.add_models();
        held.set_model(id.str());
        held.set_ready_in_ms(ms_until(model.ready_at, now));
        held.set_leaving(model.unloading);
        held.set_from_store(model.from_store);
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
    to.fencing = fencing_number(from.fence());
    to.start_time_ms = from.born_ms();
    to.next_load_at = now + milliseconds(from.room_in_ms());
    to.adapter_room = from.adapter_room();
    to.reported_at = now;
    for (const auto& it : from.models())
    {
        held_model held{.ready_at = now + milliseconds(it.ready_in_ms()),
                        .adapters = {},
                        .unloading = it.leaving(),
                        .from_store = it.from_store()};
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

peer_service::peer_service(host_context& core, state_watcher& follower)
    : core_(core), peers_(core), shares_(core, peers_), views_(core, peers_, follower),
      orders_(core, [this](const server_id& server, const server_placement& it)
              { tell_placement(server, it); }),
      started_(core.now()), hosts_(core,
                                   {.topic = platform::host_topic,
                                    .wait = hosts_wait,
                                    .gap =
                                        [this]
                                    {
                                        bool starting = core_.now() - started_ < start_length;
                                        return starting ? starting_gap : running_gap;
                                    }},
                                   {.snapshot =
                                        [this](const auto& records)
                                    {
                                        for (const auto& record : records)
                                        {
                                            take_host(record);
                                        }
                                        listed_ = true;
                                    },
                                    .record =
                                        [this](const auto& record)
                                    {
                                        take_host(record);
                                        return true;
                                    },
                                    .confirmed = [](instant) {}}),
      buffer_(datagram_bytes)
{
    core_.on_config_change = [this] { shares_.update_shares(); };
}

peer_service::~peer_service() = default;

void peer_service::start()
{
    peers_.open();
    asio::co_spawn(core_.executor, receive(), asio::detached);
    asio::co_spawn(core_.executor, report_loop(), asio::detached);
    asio::co_spawn(core_.executor, register_loop(), asio::detached);
    asio::co_spawn(core_.executor, hosts_.run(), asio::detached);
    asio::co_spawn(core_.executor, views_.run(), asio::detached);
    orders_.start();
}

task<void> peer_service::leave()
{
    co_await orders_.leave();
}

task<void> peer_service::register_loop()
{
    http_connection link(core_.settings.log.address);
    auto call = platform::put_call(
        platform::host_topic,
        {.key = core_.settings.name.str(),
         .value = fmt::format("{}:{} {} {}", core_.settings.ip, core_.settings.first_peer_port,
                              core_.settings.domain.str(), core_.incarnation.count())});
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
            if (!shares_.begun())
            {
                shares_.begin_at(core_.now() + share_delay);
                core_.log.write("host_registered", "host={}", core_.settings.name.str());
            }
            co_await pause(share_delay);
            shares_.update_shares();
            co_await pause(register_period);
            again = milliseconds(100);
            continue;
        }
        co_await pause(again);
        again = std::min(again * 2, milliseconds(2000));
    }
}

void peer_service::take_host(const platform::keyed_record& record)
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
        bool earlier_life =
            record.value->substr(second + 1) != fmt::to_string(core_.incarnation.count());
        if (earlier_life && !shares_.begun())
        {
            // The others count this host already. Its share begins empty, so what an earlier life
            // spent is not granted again.
            shares_.begin_at(core_.now());
            shares_.update_shares();
        }
        return;
    }
    peer& it = peers_.all[host];
    it.address = {address.address(), address.port()};
    it.domain = domain_id(record.value->substr(space + 1, second - space - 1));
    it.listed_at = core_.now();
    hosts_changed_ = true;
}

task<void> peer_service::receive()
{
    while (true)
    {
        udp::endpoint from;
        auto [ec, n] =
            co_await peers_.socket.async_receive_from(asio::buffer(buffer_), from, as_result);
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

void peer_service::take(const peers::peer_message& message, const udp::endpoint& from)
{
    host_id host(message.host());
    if (host.empty() || host == core_.settings.name)
    {
        return;
    }
    bool passed_on = message.relayed() == peers::passed_on;
    auto address =
        passed_on ? to_endpoint(endpoint_text(message.address())) : asio::ip::tcp::endpoint();
    bool is_new = !peers_.all.contains(host);
    peer& sender = peers_.all[host];
    if (!passed_on)
    {
        sender.address = from;
        sender.incarnation = incarnation_id(static_cast<std::int64_t>(message.life()));
    }
    else if (is_new)
    {
        sender.address = {address.address(), address.port()};
        sender.incarnation = incarnation_id(static_cast<std::int64_t>(message.life()));
    }
    sender.domain = domain_id(message.domain());
    sender.received_at = core_.now();
    if (is_new)
    {
        core_.log.write("peer_heard", "host={} domain={}", host.str(), sender.domain.str());
        hosts_changed_ = true;
    }
    if (message.relayed() == peers::asked)
    {
        pass_on(message, from);
    }
    if (message.has_report())
    {
        take_report(host, message);
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
        orders_.request_load(server_id(it.server()),
                             {.model = model_id(it.model()), .adapter = adapter_id(it.adapter())},
                             milliseconds(it.waited_ms()));
    }
    shares_.handle_message(host, sender, message);
    views_.handle_message(host, sender, message);
}

void peer_service::take_report(const host_id& from, const peers::peer_message& message)
{
    instant now = core_.now();
    for (const auto& it : message.report().servers())
    {
        server_id server(it.server());
        core_.servers.apply_peer_load(from, server, static_cast<int>(it.running()), now);
        for (const auto& use : it.units())
        {
            orders_.record_use(
                from, server,
                {.model = model_id(use.model()), .adapter = adapter_id(use.adapter())},
                static_cast<int>(use.running()), static_cast<int>(use.asked()));
        }
    }
}

void peer_service::pass_on(peers::peer_message message, const udp::endpoint& from)
{
    message.set_relayed(peers::passed_on);
    message.set_address(fmt::format("{}:{}", from.address().to_string(), from.port()));
    for (const auto& [host, it] : peers_.all)
    {
        if (is_near(it) && host.str() != message.host())
        {
            peers_.send(it, message);
        }
    }
}

milliseconds peer_service::near_period() const
{
    auto near = std::count_if(peers_.all.begin(), peers_.all.end(),
                              [this](const auto& it) { return is_near(it.second); });
    return std::chrono::duration_cast<milliseconds>(
        report_period * std::max(1.0, static_cast<double>(near) / near_hosts));
}

milliseconds peer_service::far_period() const
{
    return std::chrono::duration_cast<milliseconds>(
        report_period * std::max(1.0, static_cast<double>(core_.host_count) / far_hosts));
}

void peer_service::send_to_domains(peers::peer_message message)
{
    std::map<domain_id, std::vector<const peer*>> domains;
    for (const auto& [host, it] : peers_.all)
    {
        if (!is_near(it))
        {
            domains[it.domain].push_back(&it);
        }
    }
    instant now = core_.now();
    for (auto& [domain, hosts] : domains)
    {
        bool few = hosts.size() <= relays_in_domain;
        message.set_relayed(few ? peers::none : peers::asked);
        std::shuffle(hosts.begin(), hosts.end(), core_.random);
        // Hosts that were heard of lately come first.
        std::stable_partition(hosts.begin(), hosts.end(),
                              [&](const peer* it)
                              { return now - it->received_at < told_periods * far_period(); });
        hosts.resize(std::min(hosts.size(), relays_in_domain));
        for (const peer* it : hosts)
        {
            peers_.send(*it, message);
        }
    }
}

namespace
{

void write_units(const backend_table::record& from, peers::server_use& to)
{
    for (const auto& [unit, asked] : from.requests_since_report)
    {
        auto& it = *to.add_units();
        it.set_model(unit.model.str());
        it.set_adapter(unit.adapter.str());
        it.set_asked(static_cast<std::uint32_t>(asked));
        auto running = from.running_by_target.find(unit);
        it.set_running(running == from.running_by_target.end()
                           ? 0
                           : static_cast<std::uint32_t>(running->second));
    }
}

} // namespace

void peer_service::report_to(const host_id& host, const peer& to, instant now)
{
    auto message = peers_.new_message();
    auto& report = *message.mutable_report();
    for (const auto& [id, it] : core_.servers.servers())
    {
        bool its_owner =
            it.placement && it.placement->owner == host && !it.requests_since_report.empty();
        bool tell = is_near(to) && now - it.last_running_at < told_periods * near_period();
        if (!its_owner && !tell)
        {
            continue;
        }
        auto& use = *report.add_servers();
        use.set_server(id.str());
        use.set_running(static_cast<std::uint32_t>(it.running));
        if (its_owner)
        {
            write_units(it, use);
        }
    }
    if (is_near(to))
    {
        shares_.fill_report(host, to, message, now);
    }
    if (is_near(to) || report.servers_size() > 0)
    {
        peers_.send(to, message);
    }
}

void peer_service::report_to_domains(instant now)
{
    auto message = peers_.new_message();
    auto& report = *message.mutable_report();
    for (const auto& [id, it] : core_.servers.servers())
    {
        if (now - it.last_running_at < told_periods * far_period())
        {
            auto& use = *report.add_servers();
            use.set_server(id.str());
            use.set_running(static_cast<std::uint32_t>(it.running));
        }
    }
    shares_.fill_lendable(message, now);
    send_to_domains(std::move(message));
}

void peer_service::note_own_use()
{
    instant now = core_.now();
    for (auto& [id, it] : core_.servers.servers())
    {
        it.last_running_at = it.running > 0 ? now : it.last_running_at;
        if (!orders_.owns(id))
        {
            continue;
        }
        for (const auto& [unit, asked] : it.requests_since_report)
        {
            auto running = it.running_by_target.find(unit);
            orders_.record_use(core_.settings.name, id, unit,
                               running == it.running_by_target.end() ? 0 : running->second, asked);
        }
        core_.servers.reset_request_counts(id);
    }
}

task<void> peer_service::report_loop()
{
    instant placements_at = core_.now();
    instant near_at = core_.now();
    instant far_at = core_.now();
    while (true)
    {
        co_await pause(report_period);
        instant now = core_.now();
        core_.ledger.expire(now);
        core_.servers.expire_peer_loads(now);
        if (hosts_changed_)
        {
            hosts_changed_ = false;
            shares_.update_shares();
        }
        note_own_use();
        bool near_due = now >= near_at;
        bool far_due = now >= far_at;
        // A timer that fires a little late must not skip a period.
        constexpr milliseconds early = report_period / 4;
        near_at = near_due ? now + near_period() - early : near_at;
        far_at = far_due ? now + far_period() - early : far_at;
        for (auto& [host, it] : peers_.all)
        {
            if (is_near(it) ? near_due : far_due)
            {
                report_to(host, it, now);
            }
        }
        if (far_due)
        {
            report_to_domains(now);
        }
        for (const auto& [id, it] : core_.servers.servers())
        {
            auto owner = it.placement ? peers_.all.find(it.placement->owner) : peers_.all.end();
            bool near = owner != peers_.all.end() && is_near(owner->second);
            if (near ? near_due : far_due)
            {
                core_.servers.reset_request_counts(id);
            }
        }
        auto stretch = std::max(near_period(), far_period()) / report_period;
        auto tell_period = placement_period * std::max<std::int64_t>(stretch, 1);
        core_.servers.extend_ttls(told_periods * std::max(near_period(), far_period()),
                                  told_periods * tell_period);
        if (now - placements_at > tell_period)
        {
            placements_at = now;
            orders_.publish_all();
        }
    }
}

void peer_service::tell_placement(const server_id& server, const server_placement& placement)
{
    auto message = peers_.new_message();
    write_placement(server, placement, core_.now(), *message.add_placements());
    for (const auto& [host, it] : peers_.all)
    {
        if (is_near(it))
        {
            peers_.send(it, message);
        }
    }
    send_to_domains(std::move(message));
}

void peer_service::request_load(const server_id& server, const model_target& unit,
                                milliseconds waited)
{
    if (orders_.owns(server))
    {
        orders_.request_load(server, unit, waited);
        return;
    }
    const auto* known = core_.servers.find(server);
    if (!known || !known->placement)
    {
        return;
    }
    auto owner = peers_.all.find(known->placement->owner);
    if (owner == peers_.all.end())
    {
        return;
    }
    auto message = peers_.new_message();
    auto& it = *message.add_wishes();
    it.set_server(server.str());
    it.set_model(unit.model.str());
    it.set_adapter(unit.adapter.str());
    it.set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    peers_.send(owner->second, message);
}

} // namespace banyanshunt
