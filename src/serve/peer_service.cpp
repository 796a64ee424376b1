#include "serve/peer_service.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

#include "peers.pb.h"
#include "serve/loop_runner.hpp"
#include "serve/peer_message_check.hpp"

namespace banyanshunt
{

using asio::ip::udp;

namespace
{

/// Report period to peers of the own domain while the domain has at most `same_domain_base_hosts`
/// hosts, and to others while the fleet has at most `cross_domain_base_hosts`. In larger ones the
/// period grows so that a host sends about the same number of datagrams: 80 a second.
constexpr milliseconds report_period{250};
constexpr double same_domain_base_hosts = 20;
constexpr double cross_domain_base_hosts = 27;
/// Period at which unchanged placements are published again, scaled like reports.
constexpr milliseconds placement_period{1500};
/// Hosts of another domain that receive a datagram for all of that domain: two, as either may be
/// down, and one for what is sent again soon.
constexpr std::size_t relays_in_domain = 2;
constexpr std::size_t relays_if_repeated = 1;
/// Data from peers expires after this many of their periods.
constexpr int expiry_periods = 4;
/// Hosts learn of each other by datagrams within a report period; the list is for starting hosts.
/// It is read often until `startup_duration` has passed, by when all hosts of a fleet that starts
/// at once have registered.
constexpr milliseconds host_topic_wait{30000};
constexpr milliseconds starting_gap{1000};
constexpr milliseconds running_gap{12000};
constexpr milliseconds startup_duration{6000};
/// How long a starting host waits for the list before it registers.
constexpr milliseconds host_list_timeout{500};
/// A host registers this often; one that missed three registrations counts as gone.
constexpr milliseconds register_period{30000};
/// How long after its registration a host begins to use its shares: by then the other hosts know
/// it.
constexpr milliseconds share_delay{1500};
constexpr std::size_t datagram_bytes = 65536;
/// Most hosts of a fleet, this one included.
constexpr std::size_t max_hosts = 4096;

/// Scales of numbers in reports.
constexpr double permille = 1000;
constexpr double tenths = 10;

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

server_placement read_placement(const peers::placement& from, const host_id& owner,
                                incarnation_id incarnation, instant sent_at)
{
    server_placement to;
    to.owner = owner;
    to.owner_incarnation = incarnation;
    to.fencing = fencing_number(from.fence());
    to.start_time_ms = from.born_ms();
    to.next_load_at = sent_at + milliseconds(from.room_in_ms());
    to.adapter_room = from.adapter_room();
    to.reported_at = sent_at;
    for (const auto& it : from.models())
    {
        held_model held{.ready_at = sent_at + milliseconds(it.ready_in_ms()),
                        .adapters = {},
                        .unloading = it.leaving(),
                        .from_store = it.from_store()};
        for (const auto& adapter : it.adapters())
        {
            held.adapters.emplace(adapter_id(adapter.name()),
                                  sent_at + milliseconds(adapter.ready_in_ms()));
        }
        to.models.emplace(model_id(it.model()), std::move(held));
    }
    return to;
}

} // namespace

peer_service::peer_service(host_context& context, state_watcher& watcher)
    : context_(context), peers_(context), shares_(context, peers_),
      limits_(context, peers_,
              [this](peers::peer_message message)
              { send_to_all(std::move(message), relays_in_domain); }),
      notices_(context, peers_,
               [this](peers::peer_message message)
               { send_to_all(std::move(message), relays_in_domain); }),
      quarantine_(context, peers_,
                  [this](peers::peer_message message)
                  { send_to_all(std::move(message), relays_in_domain); }),
      views_(context, peers_, watcher),
      orders_(context,
              {.publish_placement = [this](const server_id& server, const server_placement& it)
               { publish_placement(server, it); },
               .publish_pending_owner = [this](const server_id& server, const engine_owner& it)
               { publish_pending_owner(server, it); },
               .publish_release = [this](int partition, const peer_release& it)
               { publish_release(partition, it); },
               .publish_late_order =
                   [this]
               {
                   // Every message states it.
                   send_to_all(peers_.new_message(), relays_in_domain);
               },
               .ask_numbers = [this](const std::vector<host_id>& hosts, survey_round round)
               { ask_numbers(hosts, round); },
               .hosts =
                   [this]
               {
                   instant now = context_.now();
                   return shares_.usable(now) ? peers_.known_hosts(now) : std::vector<known_host>();
               }}),
      domain_reports_(context), started_(context.now()),
      hosts_(context,
             {.topic = platform::host_topic,
              .wait = host_topic_wait,
              .gap =
                  [this]
              {
                  bool starting = context_.now() - started_ < startup_duration;
                  return starting ? starting_gap : running_gap;
              }},
             {.snapshot =
                  [this](const auto& records)
              {
                  for (const auto& record : records)
                  {
                      apply_host_record(record);
                  }
                  hosts_read_ = true;
              },
              .record =
                  [this](const auto& record)
              {
                  apply_host_record(record);
                  return true;
              },
              .confirmed = [](instant) {}}),
      buffer_(datagram_bytes)
{
    context_.on_config_change = [this] { shares_.update_shares(); };
    context_.on_limit_change = [this](const server_id& server, limit_change change)
    { limits_.announce(server, change); };
    context_.on_server_cold = [this](const server_id& server) { limits_.begin_cold(server); };
    context_.on_connection_lost = [this](const server_id& server, const auto& parts)
    { quarantine_.check_server(server, parts); };
    context_.on_sound_response = [this](const auto& parts) { quarantine_.record_sound(parts); };
    context_.on_server_leaving = [this](const server_id& server) { notices_.announce(server); };
}

peer_service::~peer_service() = default;

void peer_service::start()
{
    peers_.open();
    spawn_loop(context_, "peer_messages", [this] { return receive(); });
    spawn_loop(context_, "peer_reports", [this] { return report_loop(); });
    spawn_loop(context_, "registration", [this] { return register_loop(); });
    spawn_loop(context_, "hosts", [this] { return hosts_.run(); });
    spawn_loop(context_, "view_requests", [this] { return views_.run(); });
    quarantine_.start();
    orders_.start();
}

task<void> peer_service::leave()
{
    co_await orders_.leave();
}

task<void> peer_service::register_loop()
{
    http_connection link(context_.settings.log.address);
    auto call = platform::put_call(
        platform::host_topic,
        {.key = context_.settings.name.str(),
         .value =
             fmt::format("{}:{} {} {}", context_.settings.ip, context_.settings.first_peer_port,
                         context_.settings.domain.str(), context_.incarnation.count())});
    milliseconds retry_delay{100};
    // An earlier incarnation's record must be read before this one's replaces it.
    instant give_up_at = context_.now() + host_list_timeout;
    while (!hosts_read_ && context_.now() < give_up_at)
    {
        co_await pause(milliseconds(5));
    }
    while (true)
    {
        auto response = co_await link.call(call.method, call.target, call.body, milliseconds(1000));
        if (response && response->status == 200)
        {
            if (!shares_.started())
            {
                shares_.start_at(context_.now() + share_delay);
                context_.log.write("host_registered", "host={}", context_.settings.name.str());
            }
            co_await pause(share_delay);
            shares_.update_shares();
            co_await pause(register_period);
            retry_delay = milliseconds(100);
            continue;
        }
        co_await pause(retry_delay);
        retry_delay = std::min(retry_delay * 2, milliseconds(2000));
    }
}

void peer_service::apply_host_record(const platform::keyed_record& record)
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
        context_.log.write("host_entry_refused", "host={}", host.str());
        return;
    }
    if (host == context_.settings.name)
    {
        bool earlier_incarnation =
            record.value->substr(second + 1) != fmt::to_string(context_.incarnation.count());
        if (earlier_incarnation && !shares_.started())
        {
            // The other hosts count this host already. Its share begins empty, so tokens spent by
            // an earlier incarnation are not granted again.
            shares_.start_at(context_.now());
            shares_.update_shares();
        }
        return;
    }
    if (!has_place_for(host))
    {
        refuse_item(host, "host");
        return;
    }
    peer& it = peers_.all[host];
    it.address = {address.address(), address.port()};
    it.domain = domain_id(record.value->substr(space + 1, second - space - 1));
    it.listed_at = context_.now();
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
        if (ec)
        {
            continue;
        }
        bool readable = message.ParseFromArray(buffer_.data(), static_cast<int>(n));
        host_id host(readable ? message.host() : "");
        auto refuse = [&](const char* kind) { refuse_item(host, kind); };
        if (!readable)
        {
            refuse("datagram");
        }
        else if (remove_odd_items(message, refuse))
        {
            handle_message(message, from);
        }
    }
}

bool peer_service::has_place_for(const host_id& host) const
{
    return peers_.all.contains(host) || peers_.all.size() + 1 < max_hosts;
}

void peer_service::refuse_item(const host_id& from, const char* kind)
{
    context_.stats.increment("banyanshunt_peer_items_refused_total", {{"kind", kind}});
    if (refusals_.take(context_.now()))
    {
        context_.log.write("peer_item_refused", "host={} kind={}", from.str(), kind);
    }
}

void peer_service::handle_message(const peers::peer_message& message, const udp::endpoint& from)
{
    host_id host(message.host());
    if (host.empty() || host == context_.settings.name)
    {
        return;
    }
    bool passed_on = message.relayed() == peers::passed_on;
    auto address =
        passed_on ? to_endpoint(endpoint_text(message.address())) : asio::ip::tcp::endpoint();
    if (!has_place_for(host))
    {
        refuse_item(host, "host");
        return;
    }
    bool is_new = !peers_.all.contains(host);
    peer& sender = peers_.all[host];
    if (!passed_on)
    {
        sender.address = from;
        sender.incarnation = incarnation_id(static_cast<std::int64_t>(message.life()));
        sender.stopping = message.stopping();
    }
    else if (is_new)
    {
        sender.address = {address.address(), address.port()};
        sender.incarnation = incarnation_id(static_cast<std::int64_t>(message.life()));
    }
    sender.domain = domain_id(message.domain());
    instant sent_at = context_.now() - milliseconds(message.age_ms());
    sender.received_at = std::max(sender.received_at, sent_at);
    incarnation_id incarnation(static_cast<std::int64_t>(message.life()));
    context_.servers.record_heard(host, incarnation, sent_at);
    if (is_new)
    {
        context_.log.write("peer_heard", "host={} domain={}", host.str(), sender.domain.str());
        hosts_changed_ = true;
    }
    if (message.relayed() == peers::asked)
    {
        relay(message, from);
    }
    if (message.has_report())
    {
        handle_report(host, message, sent_at);
    }
    if (!passed_on && in_same_domain(sender))
    {
        domain_reports_.keep(message,
                             fmt::format("{}:{}", from.address().to_string(), from.port()));
    }
    for (const auto& it : message.placements())
    {
        orders_.apply_known_number(server_id(it.server()), fencing_number(it.fence()));
        context_.servers.apply_placement(server_id(it.server()),
                                         read_placement(it, host, incarnation, sent_at));
        for (const auto& model : it.models())
        {
            context_.waiting.wake(model.model());
        }
    }
    for (const auto& it : message.pending_owners())
    {
        orders_.apply_known_number(server_id(it.server()), fencing_number(it.fence()));
        context_.servers.apply_owner(
            server_id(it.server()),
            {.host = host,
             .incarnation = incarnation,
             .fencing = fencing_number(it.fence()),
             .may_order_at = context_.now() + milliseconds(it.may_order_in_ms()),
             .reported_at = context_.now()});
    }
    for (const auto& it : message.partition_releases())
    {
        orders_.apply_release(static_cast<int>(it.partition()),
                              {.last_record = log_offset(it.last_record()),
                               .free_at = context_.now() + milliseconds(it.wait_ms())});
    }
    handle_numbers(host, sender, message);
    if (message.late_order_age_ms() > 0)
    {
        orders_.apply_late_order(sent_at - milliseconds(message.late_order_age_ms()));
    }
    for (const auto& it : message.wishes())
    {
        orders_.request_load(server_id(it.server()),
                             {.model = model_id(it.model()), .adapter = adapter_id(it.adapter())},
                             milliseconds(it.waited_ms()));
    }
    shares_.handle_message(host, sender, message);
    limits_.handle_message(sender, message, sent_at);
    notices_.handle_message(message, sent_at);
    quarantine_.handle_message(message, sent_at);
    views_.handle_message(host, sender, message);
    for (const auto& it : message.bundled())
    {
        handle_bundled(message, it, from);
    }
}

void peer_service::handle_bundled(const peers::peer_message& bundle,
                                  const peers::peer_message& message, const udp::endpoint& from)
{
    bool is_forwarded_report = message.relayed() == peers::passed_on &&
                               message.domain() == bundle.domain() && message.bundled().empty();
    if (is_forwarded_report)
    {
        handle_message(message, from);
    }
}

void peer_service::handle_report(const host_id& from, const peers::peer_message& message,
                                 instant sent_at)
{
    if (message.report().complete() && !context_.servers.begin_complete_report(from, sent_at))
    {
        return;
    }
    for (const auto& it : message.report().servers())
    {
        server_id server(it.server());
        context_.servers.apply_peer_load(from, server, static_cast<int>(it.running()), sent_at);
        if (it.paced_streams_tenths() > 0)
        {
            context_.servers.pace().apply(from, server,
                                          {.slowness = it.slowness_permille() / permille,
                                           .weight = it.paced_streams_tenths() / tenths,
                                           .at = sent_at});
        }
        for (const auto& use : it.units())
        {
            orders_.record_use(
                from, server,
                {.model = model_id(use.model()), .adapter = adapter_id(use.adapter())},
                static_cast<int>(use.running()), static_cast<int>(use.asked()));
        }
    }
}

void peer_service::relay(peers::peer_message message, const udp::endpoint& from)
{
    message.set_relayed(peers::passed_on);
    message.set_address(fmt::format("{}:{}", from.address().to_string(), from.port()));
    for (const auto& [host, it] : peers_.all)
    {
        if (in_same_domain(it) && host.str() != message.host())
        {
            peers_.send(it, message);
        }
    }
}

milliseconds peer_service::same_domain_period() const
{
    auto same_domain = std::count_if(peers_.all.begin(), peers_.all.end(),
                                     [this](const auto& it) { return in_same_domain(it.second); });
    return std::chrono::duration_cast<milliseconds>(
        report_period * std::max(1.0, static_cast<double>(same_domain) / same_domain_base_hosts));
}

milliseconds peer_service::cross_domain_period() const
{
    return std::chrono::duration_cast<milliseconds>(
        report_period *
        std::max(1.0, static_cast<double>(context_.host_count) / cross_domain_base_hosts));
}

void peer_service::send_to_domains(peers::peer_message message, std::size_t relays)
{
    std::map<domain_id, std::vector<const peer*>> domains;
    for (const auto& [host, it] : peers_.all)
    {
        if (!in_same_domain(it))
        {
            domains[it.domain].push_back(&it);
        }
    }
    instant now = context_.now();
    for (auto& [domain, hosts] : domains)
    {
        bool few = hosts.size() <= relays_in_domain;
        message.set_relayed(few ? peers::none : peers::asked);
        std::shuffle(hosts.begin(), hosts.end(), context_.random);
        // Hosts from which data was received recently come first.
        std::stable_partition(
            hosts.begin(), hosts.end(),
            [&](const peer* it)
            { return now - it->received_at < expiry_periods * cross_domain_period(); });
        hosts.resize(few ? hosts.size() : relays);
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
    for (const auto& [unit, requests] : from.requests_since_report)
    {
        auto& it = *to.add_units();
        it.set_model(unit.model.str());
        it.set_adapter(unit.adapter.str());
        it.set_asked(static_cast<std::uint32_t>(requests));
        auto running = from.running_by_target.find(unit);
        it.set_running(running == from.running_by_target.end()
                           ? 0
                           : static_cast<std::uint32_t>(running->second));
    }
}

void write_pace(const server_pace& from, const server_id& server, instant now,
                peers::server_use& to)
{
    if (auto it = from.own(server, now))
    {
        to.set_slowness_permille(static_cast<std::int32_t>(std::lround(it->slowness * permille)));
        to.set_paced_streams_tenths(static_cast<std::uint32_t>(std::lround(it->weight * tenths)));
    }
}

} // namespace

void peer_service::report_to(const host_id& host, const peer& to, instant now)
{
    auto message = peers_.new_message();
    auto& report = *message.mutable_report();
    views_.fill_report(report);
    for (const auto& [id, it] : context_.servers.servers())
    {
        bool is_owner = it.owner && it.owner->host == host && !it.requests_since_report.empty();
        bool report_load =
            in_same_domain(to) && now - it.last_running_at < expiry_periods * same_domain_period();
        if (!is_owner && !report_load)
        {
            continue;
        }
        auto& use = *report.add_servers();
        use.set_server(id.str());
        use.set_running(static_cast<std::uint32_t>(it.running));
        write_pace(context_.servers.pace(), id, now, use);
        if (is_owner)
        {
            write_units(it, use);
        }
    }
    if (in_same_domain(to))
    {
        shares_.fill_report(host, to, message, now);
        limits_.fill_report(message);
        notices_.fill_report(message);
        quarantine_.fill_report(message);
    }
    if (in_same_domain(to) || report.servers_size() > 0)
    {
        peers_.send(to, message);
    }
}

void peer_service::report_to_domains(instant now)
{
    auto message = peers_.new_message();
    auto& report = *message.mutable_report();
    views_.fill_report(report);
    for (const auto& [id, it] : context_.servers.servers())
    {
        if (now - it.last_running_at < expiry_periods * cross_domain_period())
        {
            auto& use = *report.add_servers();
            use.set_server(id.str());
            use.set_running(static_cast<std::uint32_t>(it.running));
            write_pace(context_.servers.pace(), id, now, use);
        }
    }
    shares_.fill_lendable(message, now);
    limits_.fill_report(message);
    notices_.fill_report(message);
    quarantine_.fill_report(message);
    domain_reports_.expire(expiry_periods * same_domain_period(), 2 * cross_domain_period());
    for (auto& due : domain_reports_.take_due(message, peers_))
    {
        bool is_forwarded_again = due.bundled_size() > 0;
        send_to_domains(std::move(due), is_forwarded_again ? relays_if_repeated : relays_in_domain);
    }
}

void peer_service::record_own_use()
{
    instant now = context_.now();
    for (auto& [id, it] : context_.servers.servers())
    {
        it.last_running_at = it.running > 0 ? now : it.last_running_at;
        if (!orders_.owns(id))
        {
            continue;
        }
        for (const auto& [unit, requests] : it.requests_since_report)
        {
            auto running = it.running_by_target.find(unit);
            orders_.record_use(context_.settings.name, id, unit,
                               running == it.running_by_target.end() ? 0 : running->second,
                               requests);
        }
        context_.servers.reset_request_counts(id);
    }
}

task<void> peer_service::report_loop()
{
    instant placements_at = context_.now();
    instant same_domain_due_at = context_.now();
    instant cross_domain_due_at = context_.now();
    while (true)
    {
        co_await pause(report_period);
        instant now = context_.now();
        context_.ledger.expire(now);
        context_.servers.expire_peer_loads(now);
        context_.servers.pace().expire(now);
        context_.arrivals.expire(now);
        // On average a report is half a period old, whichever domain it comes from.
        context_.report_age = (same_domain_period() + cross_domain_period()) / 4;
        context_.servers.limits().expire(now);
        context_.servers.expire_notices(now);
        quarantine_.expire();
        limits_.update_granted();
        if (hosts_changed_)
        {
            shares_.update_shares();
            hosts_changed_ = false;
        }
        record_own_use();
        bool same_domain_due = now >= same_domain_due_at;
        bool cross_domain_due = now >= cross_domain_due_at;
        // A timer that fires slightly late must not skip a period.
        constexpr milliseconds timer_slack = report_period / 4;
        same_domain_due_at =
            same_domain_due ? now + same_domain_period() - timer_slack : same_domain_due_at;
        cross_domain_due_at =
            cross_domain_due ? now + cross_domain_period() - timer_slack : cross_domain_due_at;
        for (auto& [host, it] : peers_.all)
        {
            if (in_same_domain(it) ? same_domain_due : cross_domain_due)
            {
                report_to(host, it, now);
            }
        }
        if (cross_domain_due)
        {
            report_to_domains(now);
        }
        for (const auto& [id, it] : context_.servers.servers())
        {
            auto owner = it.owner ? peers_.all.find(it.owner->host) : peers_.all.end();
            bool same_domain = owner != peers_.all.end() && in_same_domain(owner->second);
            if (same_domain ? same_domain_due : cross_domain_due)
            {
                context_.servers.reset_request_counts(id);
            }
        }
        auto scale = std::max(same_domain_period(), cross_domain_period()) / report_period;
        auto publish_period = placement_period * std::max<std::int64_t>(scale, 1);
        context_.servers.extend_ttls(expiry_periods *
                                         std::max(same_domain_period(), cross_domain_period()),
                                     expiry_periods * publish_period);
        if (now - placements_at > publish_period)
        {
            placements_at = now;
            orders_.publish_all();
        }
    }
}

void peer_service::publish_placement(const server_id& server, const server_placement& placement)
{
    auto message = peers_.new_message();
    write_placement(server, placement, context_.now(), *message.add_placements());
    domain_reports_.keep(message, peers_.own_address());
    send_to_all(std::move(message), relays_if_repeated);
}

void peer_service::publish_pending_owner(const server_id& server, const engine_owner& owner)
{
    auto message = peers_.new_message();
    auto& it = *message.add_pending_owners();
    it.set_server(server.str());
    it.set_fence(owner.fencing.count());
    it.set_may_order_in_ms(ms_until(owner.may_order_at, context_.now()));
    send_to_all(std::move(message), relays_in_domain);
}

void peer_service::publish_release(int partition, const peer_release& release)
{
    auto message = peers_.new_message();
    auto& it = *message.add_partition_releases();
    it.set_partition(static_cast<std::uint32_t>(partition));
    it.set_last_record(release.last_record.count());
    it.set_wait_ms(ms_until(release.free_at, context_.now()));
    send_to_all(std::move(message), relays_in_domain);
}

void peer_service::ask_numbers(const std::vector<host_id>& hosts, survey_round round)
{
    auto message = peers_.new_message();
    message.set_numbers_asked(round.count());
    for (const auto& host : hosts)
    {
        if (auto it = peers_.all.find(host); it != peers_.all.end())
        {
            peers_.send(it->second, message);
        }
    }
}

void peer_service::handle_numbers(const host_id& from, const peer& sender,
                                  const peers::peer_message& message)
{
    for (const auto& it : message.partition_numbers())
    {
        orders_.apply_known_number(static_cast<int>(it.partition()), fencing_number(it.number()));
    }
    if (message.numbers_answered() != 0)
    {
        orders_.record_survey_answer(from, survey_round(message.numbers_answered()));
    }
    if (message.numbers_asked() != 0)
    {
        auto answer = peers_.new_message();
        answer.set_numbers_answered(message.numbers_asked());
        for (const auto& [partition, number] : orders_.known_numbers())
        {
            auto& it = *answer.add_partition_numbers();
            it.set_partition(static_cast<std::uint32_t>(partition));
            it.set_number(number.count());
        }
        peers_.send(sender, answer);
    }
}

void peer_service::send_to_all(peers::peer_message message, std::size_t relays)
{
    for (const auto& [host, it] : peers_.all)
    {
        if (in_same_domain(it))
        {
            peers_.send(it, message);
        }
    }
    send_to_domains(std::move(message), relays);
}

load_request_route peer_service::request_load(const server_id& server, const model_target& unit,
                                              milliseconds waited)
{
    auto route = send_load_request(server, unit, waited);
    context_.stats.increment("banyanshunt_load_requests_total", {{"route", to_text(route)}});
    return route;
}

load_request_route peer_service::send_load_request(const server_id& server,
                                                   const model_target& unit, milliseconds waited)
{
    if (orders_.owns(server))
    {
        orders_.request_load(server, unit, waited);
        return load_request_route::own_engine;
    }
    const auto* known = context_.servers.find(server);
    auto owner = known && known->owner ? peers_.all.find(known->owner->host) : peers_.all.end();
    if (owner == peers_.all.end())
    {
        return load_request_route::no_owner;
    }
    auto message = peers_.new_message();
    auto& it = *message.add_wishes();
    it.set_server(server.str());
    it.set_model(unit.model.str());
    it.set_adapter(unit.adapter.str());
    it.set_waited_ms(static_cast<std::uint32_t>(waited.count()));
    peers_.send(owner->second, message);
    return load_request_route::sent;
}

} // namespace banyanshunt
