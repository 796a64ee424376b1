#include "placer/placer_host.hpp"

#include <atomic>

#include "coordination/random_source.hpp"
#include "coordination/state_follower.hpp"
#include "placer/demand_board.hpp"
#include "placer/domain_placer.hpp"
#include "placer/gone_servers.hpp"
#include "protocol/platform_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/duty_thread.hpp"
#include "state/log_line.hpp"
#include "transport/backend_clients.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/placement_link.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds log_wait(1000);
constexpr milliseconds failed_read_pause(200);
constexpr milliseconds host_list_interval(500);

incarnation new_incarnation()
{
    return incarnation(static_cast<std::int64_t>(system_seeded()() >> 1U));
}

domain_placer_options placer_options(const placer_settings& given)
{
    host_id self(given.host.name);
    // Spreads the copies of a silent owner's records over some seconds.
    constexpr std::uint64_t spread_ms = 10'000;
    auto delay = static_cast<std::int64_t>(rendezvous_weight("copy", given.host.name) % spread_ms);
    return {.lease = {.holder = self,
                      .life = new_incarnation(),
                      .domain = domain_id(given.host.domain),
                      .lease_length = given.lease_length,
                      .longest_order = given.longest_order,
                      .renew_after = given.refresh_after},
            .slots = {.writer = self,
                      .refresh_after = given.refresh_after,
                      .copy_delay = milliseconds(delay)},
            .planner = {.times = {}, .retire_grace = given.retire_grace}};
}

} // namespace

struct placer_host::impl
{
    explicit impl(const placer_settings& given)
        : settings(given), log(http, given.platform.log, given.platform.patience),
          hosts(http, given.platform.hosts), engine(http), channels(given.peer_keys),
          follower(log, state, decode_ticket, [](const auto&) {}),
          placer(log, engine, clock, placer_options(given),
                 [this](const auto& it, const auto& sent) { note_order(it, sent); }),
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

    milliseconds follow_tickets()
    {
        auto step = follower.step(log_wait);
        return step ? milliseconds(0) : failed_read_pause;
    }

    milliseconds follow_hosts()
    {
        auto listed = hosts.hosts();
        if (listed)
        {
            std::lock_guard lock(mutex);
            neighbours.clear();
            for (const auto& host : *listed)
            {
                bool near = host.role == "placer" && host.domain.str() == settings.host.domain;
                if (near && !host.leaving)
                {
                    neighbours.push_back(host.name);
                }
            }
            gone = listed_servers.take(*listed, clock.now());
        }
        return host_list_interval;
    }

    void note_order(const planned_order& it, const verdict<done>& sent)
    {
        std::string result = sent ? "taken" : sent.error().code.message();
        log_change("order_sent", "kind={} server={} model={} adapter={} result={}",
                   to_string(it.order.kind), it.server.str(), it.order.model.str(),
                   it.order.adapter.str(), result);
        counters.count("banyanshunt_orders_total", {{"result", result}});
    }

    domain_view view_now()
    {
        domain_view view{
            .state = state.get(), .placers = {}, .gone = {}, .needs = demands.joined(clock.now())};
        std::lock_guard lock(mutex);
        view.placers = neighbours;
        view.gone = gone;
        return view;
    }

    void publish(const fleet_state& it, const domain_step& step)
    {
        std::vector<placed_server> now_placed;
        for (const auto& engine_here : step.engines)
        {
            const server_object* object = find_object(it.servers, engine_here.server);
            if (object)
            {
                now_placed.push_back({.server = engine_here.server,
                                      .address = object->address,
                                      .domain = object->domain,
                                      .fencing = engine_here.fencing,
                                      .leaving = object->leaving,
                                      .replicas = engine_here.report.replicas});
            }
        }
        std::lock_guard lock(mutex);
        placed = std::move(now_placed);
    }

    // The domains that share the weight store's limits are those that have engines.
    void split_store(const fleet_state& it)
    {
        std::vector<domain_id> domains;
        for (const auto& [id, entry] : it.servers)
        {
            if (entry->value && entry->value->kind == server_kind::engine)
            {
                domains.push_back(entry->value->domain);
            }
        }
        placer.set_share(split_limits(store_limits, domains, domain_id(settings.host.domain)));
    }

    milliseconds place()
    {
        auto view = view_now();
        split_store(*view.state);
        auto began = clock.now();
        auto step = placer.step(view);
        counters.observe("banyanshunt_placement_seconds", clock.now() - began);
        publish(*view.state, step);
        return settings.interval;
    }

    placer_settings settings;
    boot_clock clock;
    metrics counters;
    state_cell state;
    http_client http;
    http_log_service log;
    http_host_list hosts;
    http_model_engine engine;
    peer_channels channels;
    state_follower<http_log_service> follower;
    domain_placer<http_log_service, http_model_engine, boot_clock> placer;
    demand_board demands;
    std::mutex mutex;
    std::vector<std::string> neighbours;
    gone_servers listed_servers;
    std::set<server_id> gone;
    weight_store_limits store_limits;
    std::vector<placed_server> placed;
    std::unique_ptr<duty_thread> ticket_duty;
    std::unique_ptr<duty_thread> host_duty;
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
    it.ticket_duty = std::make_unique<duty_thread>([&it] { return it.follow_tickets(); });
    it.host_duty = std::make_unique<duty_thread>([&it] { return it.follow_hosts(); });
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
    it.host_duty->stop();
    it.ticket_duty->stop();
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
