#include "placer/placer_host.hpp"

#include <atomic>

#include "coordination/placement_plan.hpp"
#include "coordination/random_source.hpp"
#include "placer/demand_board.hpp"
#include "placer/lease_keeper.hpp"
#include "protocol/platform_codec.hpp"
#include "state/duty_thread.hpp"
#include "state/log_line.hpp"
#include "transport/backend_clients.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/placement_link.hpp"
#include "transport/state_source.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds exchange_interval(500);

incarnation new_incarnation()
{
    return incarnation(static_cast<std::int64_t>(system_seeded()() >> 1U));
}

} // namespace

struct placer_host::impl
{
    explicit impl(const placer_settings& given)
        : settings(given), log(http, given.platform.log, given.platform.patience), engine(http),
          channels(given.peer_keys),
          source({.host = given.host,
                  .platform = given.platform,
                  .role = placer_role,
                  .shortest_tick = exchange_interval},
                 http, channels, counters, [this](const auto& list) { take_list(list); }),
          state(source.cell()), leases(log, clock,
                                       {.holder = host_id(given.host.name),
                                        .life = new_incarnation(),
                                        .domain = domain_id(given.host.domain),
                                        .lease_length = given.lease_length,
                                        .longest_order = given.longest_order}),
          service([this](const demand& it) { return take_demand(it); }),
          admin({.address = given.admin_listen, .threads = 4}),
          peers({.address = given.peer_listen,
                 .credentials = given.peer_keys,
                 .services = {service.service()}})
    {
    }

    placement_answer take_demand(const demand& it)
    {
        demands.put(it.host, it.needs, clock.now());
        if (!it.needs.empty() && place_duty)
        {
            place_duty->wake();
        }
        std::lock_guard lock(mutex);
        return {.placer = host_id(settings.host.name), .servers = placed};
    }

    void take_list(const std::vector<listed_host>& list)
    {
        std::lock_guard lock(mutex);
        neighbours.clear();
        for (const auto& host : list)
        {
            bool near = host.role == placer_role && host.domain.str() == settings.host.domain;
            if (near && !host.leaving)
            {
                neighbours.push_back(host.name);
            }
        }
    }

    // The servers of this domain that rendezvous gives to this placer among its listed neighbours.
    std::vector<server_id> own_servers(const fleet_state& it)
    {
        std::vector<std::string> placers;
        {
            std::lock_guard lock(mutex);
            placers = neighbours;
        }
        std::vector<server_id> own;
        for (const auto& [id, entry] : it.servers)
        {
            bool engine_here = entry->value && entry->value->kind == server_kind::engine &&
                               entry->value->domain.str() == settings.host.domain;
            if (!engine_here || placers.empty())
            {
                continue;
            }
            if (rendezvous_order(id.str(), placers).front() == settings.host.name)
            {
                own.push_back(id);
            }
        }
        return own;
    }

    void claim_missing(const std::vector<server_id>& own)
    {
        for (const auto& server : own)
        {
            auto it = leases.find(server);
            if (it && leases.is_mine(*it))
            {
                continue;
            }
            log_change("lease_wanted", "server={}", server.str());
            (void)leases.claim(server);
        }
    }

    // Reads back every server that may be ordered now.
    std::vector<held_server> read_servers(const fleet_state& it, const std::vector<server_id>& own)
    {
        std::vector<held_server> held;
        for (const auto& id : own)
        {
            auto fencing = leases.may_order(id);
            if (!fencing)
            {
                continue;
            }
            auto report = engine.read_back(find_object(it.servers, id)->address);
            if (report)
            {
                held.push_back({.server = id, .fencing = *fencing, .report = *report});
            }
        }
        return held;
    }

    void publish(const fleet_state& it, const std::vector<held_server>& held)
    {
        std::vector<placed_server> now_placed;
        for (const auto& server : held)
        {
            const server_object* object = find_object(it.servers, server.server);
            now_placed.push_back({.server = server.server,
                                  .address = object->address,
                                  .domain = object->domain,
                                  .fencing = server.fencing,
                                  .leaving = object->leaving,
                                  .replicas = server.report.replicas});
        }
        std::lock_guard lock(mutex);
        placed = std::move(now_placed);
    }

    // The lease is checked again right before each order: time has passed since the plan.
    void send_orders(const fleet_state& it, const std::vector<planned_order>& orders)
    {
        for (const auto& planned : orders)
        {
            auto fencing = leases.may_order(planned.server);
            if (!fencing || *fencing != planned.order.fencing)
            {
                continue;
            }
            auto sent =
                engine.order(find_object(it.servers, planned.server)->address, planned.order);
            log_change("order_sent", "kind={} server={} model={} adapter={} result={}",
                       to_string(planned.order.kind), planned.server.str(),
                       planned.order.model.str(), planned.order.adapter.str(),
                       sent ? "taken" : sent.error().code.message());
            counters.count("banyanshunt_orders_total",
                           {{"result", sent ? "taken" : sent.error().code.message()}});
        }
    }

    milliseconds place()
    {
        (void)leases.read();
        auto it = state.get();
        auto own = own_servers(*it);
        claim_missing(own);
        auto held = read_servers(*it, own);
        publish(*it, held);
        auto orders = plan_orders(
            {.state = it, .servers = std::move(held), .needs = demands.joined(clock.now())});
        send_orders(*it, orders);
        return settings.interval;
    }

    placer_settings settings;
    boot_clock clock;
    metrics counters;
    http_client http;
    http_log_service log;
    http_model_engine engine;
    peer_channels channels;
    state_source source;
    state_cell& state;
    lease_keeper<http_log_service, boot_clock> leases;
    demand_board demands;
    std::mutex mutex;
    std::vector<std::string> neighbours;
    std::vector<placed_server> placed;
    std::unique_ptr<duty_thread> place_duty;
    placement_service service;
    http_server admin;
    peer_server peers;
};

placer_host::placer_host(const placer_settings& settings) : impl_(std::make_unique<impl>(settings))
{
}

placer_host::~placer_host() = default;

bool placer_host::start()
{
    impl& it = *impl_;
    if (it.peers.address().empty() || it.admin.address().empty())
    {
        log_warning("cannot_listen", "peers={} admin={}", it.settings.peer_listen,
                    it.settings.admin_listen);
        return false;
    }
    it.source.start();
    it.place_duty = std::make_unique<duty_thread>([&it] { return it.place(); });
    it.admin.handle("GET", "/metrics",
                    [&it](auto&)
                    {
                        return http_reply{.content_type = "text/plain; version=0.0.4",
                                          .headers = {},
                                          .body = it.counters.text(),
                                          .stream = {}};
                    });
    it.admin.start();
    log_change("placer_started", "host={} domain={} peers={} admin={}", it.settings.host.name,
               it.settings.host.domain, it.peers.address(), it.admin.address());
    return true;
}

void placer_host::stop()
{
    impl& it = *impl_;
    it.place_duty->stop();
    it.source.stop();
    it.admin.stop();
    log_change("placer_stopped", "host={}", it.settings.host.name);
}

std::string placer_host::peer_address() const
{
    return impl_->peers.address();
}

std::string placer_host::admin_address() const
{
    return impl_->admin.address();
}

} // namespace banyanshunt
