#include "placer/placer_host.hpp"

#include <atomic>

#include "coordination/random_source.hpp"
#include "placer/demand_relay.hpp"
#include "placer/demand_table.hpp"
#include "placer/domain_placer.hpp"
#include "placer/removed_servers.hpp"
#include "protocol/platform_codec.hpp"
#include "state/log_line.hpp"
#include "state/periodic_thread.hpp"
#include "transport/backend_clients.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/placement_rpc.hpp"
#include "transport/state_source.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds limits_interval(5000);
constexpr milliseconds exchange_interval(500);

incarnation_id new_incarnation()
{
    return incarnation_id(static_cast<std::int64_t>(make_seeded_rng()() >> 1U));
}

// The versions of the placement table must not equal those of an earlier incarnation.
std::int64_t new_version()
{
    constexpr unsigned version_headroom_bits = 16;
    return static_cast<std::int64_t>(make_seeded_rng()() >> version_headroom_bits) + 1;
}

domain_placer_options placer_options(const placer_settings& given)
{
    host_id self(given.host.name);
    // Spreads the copies of an unresponsive owner's records over some seconds.
    constexpr std::uint64_t spread_ms = 10'000;
    auto delay = static_cast<std::int64_t>(rendezvous_weight("copy", given.host.name) % spread_ms);
    return {.lease = {.holder = self,
                      .incarnation = new_incarnation(),
                      .domain = domain_id(given.host.domain),
                      .lease_duration = given.lease_duration,
                      .max_order_delay = given.max_order_delay,
                      .renew_interval = given.refresh_after},
            .slots = {.writer = self,
                      .refresh_after = given.refresh_after,
                      .copy_delay = milliseconds(delay)},
            .planner = {.times = {}, .retire_grace = given.retire_grace}};
}

} // namespace

struct placer_host::impl
{
    explicit impl(const placer_settings& given)
        : settings(given), log(http, given.platform.log, given.platform.timeout),
          weights(http, given.platform.weights), engine(http), channels(given.peer_keys),
          source({.host = given.host,
                  .platform = given.platform,
                  .role = placer_role,
                  .min_exchange_interval = exchange_interval},
                 http, channels, counters, [this](const auto& list) { handle_host_list(list); }),
          state(source.cell()),
          placer(log, engine, clock, placer_options(given),
                 [this](const auto& it, const auto& sent) { record_order(it, sent); }),
          placements(domain_id(given.host.domain), new_version()),
          relay(channels, demands, placements,
                {.self = host_id(given.host.name), .domain = domain_id(given.host.domain)}),
          service([this](const demand& it) { return handle_demand(it); }),
          admin({.address = given.admin_listen, .threads = 4}),
          peers({.address = given.peer_listen,
                 .credentials = given.peer_keys,
                 .services = {service.service()}})
    {
    }

    placement_response handle_demand(const demand& it)
    {
        bool has_new = demands.put(it, clock.now());
        if (has_new && started)
        {
            placement_thread->wake();
            relay_thread->wake();
        }
        placement_response response{.placer = host_id(settings.host.name),
                                    .lease_holder = current_holder(),
                                    .version = 0,
                                    .unchanged = false,
                                    .servers = {},
                                    .expected = {}};
        placements.fill(it, response);
        return response;
    }

    host_id current_holder()
    {
        std::lock_guard lock(mutex);
        return holder.value_or(host_id());
    }

    milliseconds relay_demand()
    {
        host_id it = current_holder();
        return relay.step(it.empty() ? std::nullopt : std::optional(it));
    }

    // Reads the limits of the platform's weight store; the defaults apply until the first read
    // succeeds.
    milliseconds update_limits()
    {
        auto limits = weights.limits();
        if (limits)
        {
            std::lock_guard lock(mutex);
            store_limits = *limits;
        }
        return limits_interval;
    }

    void handle_host_list(const std::vector<listed_host>& list)
    {
        relay.set_hosts(list);
        std::lock_guard lock(mutex);
        domain_placers.clear();
        for (const auto& host : list)
        {
            bool in_domain = host.role == placer_role && host.domain.str() == settings.host.domain;
            if (in_domain && !host.leaving)
            {
                domain_placers.push_back(host.name);
            }
        }
        removed = server_list.update(list, clock.now());
    }

    void record_order(const planned_order& it, const verdict<done>& sent)
    {
        std::string result = sent ? "taken" : sent.error().code.message();
        log_info("order_sent", "kind={} server={} model={} adapter={} result={}",
                 to_string(it.order.kind), it.server.str(), it.order.model.str(),
                 it.order.adapter.str(), result);
        counters.increment("banyanshunt_orders_total", {{"result", result}});
    }

    domain_view make_domain_view()
    {
        domain_view view{.state = state.get(),
                         .placers = {},
                         .removed = {},
                         .demands = demands.merged(demand_hop::from_domain, clock.now())};
        std::lock_guard lock(mutex);
        view.placers = domain_placers;
        view.removed = removed;
        return view;
    }

    void publish(const fleet_state& it, const domain_step_result& step)
    {
        domain_id own(settings.host.domain);
        domain_placement placement;
        for (const auto& placed : step.engines)
        {
            const server_object* object = find_object(it.servers, placed.server);
            if (object)
            {
                placement.servers.push_back({.server = placed.server,
                                             .address = object->address,
                                             .domain = object->domain,
                                             .fencing = placed.fencing,
                                             .leaving = object->leaving,
                                             .replicas = placed.report.replicas});
            }
        }
        for (const auto& load : step.expected)
        {
            placement.expected.push_back(
                {.model = load.model, .domain = own, .ready_at = clock.now() + load.ready_in});
        }
        placements.put(own, std::move(placement));
    }

    // Only domains that have engines share the weight store's limits.
    void update_share(const fleet_state& it)
    {
        std::vector<domain_id> domains;
        for (const auto& [id, entry] : it.servers)
        {
            if (entry->value && entry->value->kind == server_kind::engine)
            {
                domains.push_back(entry->value->domain);
            }
        }
        weight_store_limits limits;
        {
            std::lock_guard lock(mutex);
            limits = store_limits;
        }
        placer.set_share(split_limits(limits, domains, domain_id(settings.host.domain)));
    }

    milliseconds run_step()
    {
        auto view = make_domain_view();
        update_share(*view.state);
        auto started_at = clock.now();
        auto step = placer.step(view);
        counters.observe("banyanshunt_placement_seconds", clock.now() - started_at);
        auto lease_holder = placer.holder();
        {
            std::lock_guard lock(mutex);
            holder = lease_holder;
        }
        // If another placer holds the leases, it publishes the placement of the servers.
        if (lease_holder == host_id(settings.host.name))
        {
            publish(*view.state, step);
        }
        return settings.interval;
    }

    placer_settings settings;
    boot_clock clock;
    metrics counters;
    http_client http;
    http_log_service log;
    http_weight_store weights;
    http_model_engine engine;
    peer_channels channels;
    state_source source;
    state_cell& state;
    domain_placer<http_log_service, http_model_engine, boot_clock> placer;
    demand_table demands;
    placement_table placements;
    demand_relay relay;
    std::mutex mutex;
    std::vector<std::string> domain_placers;
    removed_servers server_list;
    std::set<server_id> removed;
    weight_store_limits store_limits;
    std::optional<host_id> holder;
    std::atomic<bool> started = false;
    std::unique_ptr<periodic_thread> limits_thread;
    std::unique_ptr<periodic_thread> placement_thread;
    std::unique_ptr<periodic_thread> relay_thread;
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
    it.limits_thread = std::make_unique<periodic_thread>([&it] { return it.update_limits(); });
    it.placement_thread = std::make_unique<periodic_thread>([&it] { return it.run_step(); });
    it.relay_thread = std::make_unique<periodic_thread>([&it] { return it.relay_demand(); });
    it.started = true;
    it.admin.handle("GET", "/metrics",
                    [&it](auto&)
                    {
                        return http_response{.content_type = "text/plain; version=0.0.4",
                                             .headers = {},
                                             .body = it.counters.text(),
                                             .stream = {}};
                    });
    it.admin.start();
    log_info("placer_started", "host={} domain={} peers={} admin={}", it.settings.host.name,
             it.settings.host.domain, it.peers.address(), it.admin.address());
    return true;
}

void placer_host::stop()
{
    impl& it = *impl_;
    it.relay_thread->stop();
    it.placement_thread->stop();
    it.placer.release();
    it.limits_thread->stop();
    it.source.stop();
    it.admin.stop();
    log_info("placer_stopped", "host={}", it.settings.host.name);
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
