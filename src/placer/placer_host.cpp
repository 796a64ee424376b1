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

// Versions of the board of an earlier life must not look like this one's.
std::int64_t new_version()
{
    constexpr unsigned keep_room = 16;
    return static_cast<std::int64_t>(make_seeded_rng()() >> keep_room) + 1;
}

domain_placer_options placer_options(const placer_settings& given)
{
    host_id self(given.host.name);
    // Spreads the copies of a silent owner's records over some seconds.
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
                 http, channels, counters, [this](const auto& list) { take_list(list); }),
          state(source.cell()),
          placer(log, engine, clock, placer_options(given),
                 [this](const auto& it, const auto& sent) { note_order(it, sent); }),
          board(domain_id(given.host.domain), new_version()),
          relay(channels, demands, board,
                {.self = host_id(given.host.name), .domain = domain_id(given.host.domain)}),
          service([this](const demand& it) { return take_demand(it); }),
          admin({.address = given.admin_listen, .threads = 4}),
          peers({.address = given.peer_listen,
                 .credentials = given.peer_keys,
                 .services = {service.service()}})
    {
    }

    placement_response take_demand(const demand& it)
    {
        bool more = demands.put(it, clock.now());
        if (more && started)
        {
            place_duty->wake();
            relay_duty->wake();
        }
        placement_response answer{.placer = host_id(settings.host.name),
                                  .lease_holder = current_holder(),
                                  .version = 0,
                                  .unchanged = false,
                                  .servers = {},
                                  .expected = {}};
        board.fill(it, answer);
        return answer;
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

    // The limits of the platform's weight store; until they were read, those of the defaults hold.
    milliseconds follow_limits()
    {
        auto limits = weights.limits();
        if (limits)
        {
            std::lock_guard lock(mutex);
            store_limits = *limits;
        }
        return limits_interval;
    }

    void take_list(const std::vector<listed_host>& list)
    {
        relay.set_hosts(list);
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
        gone = listed_servers.update(list, clock.now());
    }

    void note_order(const planned_order& it, const verdict<done>& sent)
    {
        std::string result = sent ? "taken" : sent.error().code.message();
        log_info("order_sent", "kind={} server={} model={} adapter={} result={}",
                 to_string(it.order.kind), it.server.str(), it.order.model.str(),
                 it.order.adapter.str(), result);
        counters.increment("banyanshunt_orders_total", {{"result", result}});
    }

    domain_view view_now()
    {
        domain_view view{.state = state.get(),
                         .placers = {},
                         .removed = {},
                         .needs = demands.merged(demand_hop::from_domain, clock.now())};
        std::lock_guard lock(mutex);
        view.placers = neighbours;
        view.removed = gone;
        return view;
    }

    void publish(const fleet_state& it, const domain_step_result& step)
    {
        domain_id own(settings.host.domain);
        domain_placement now_placed;
        for (const auto& engine_here : step.engines)
        {
            const server_object* object = find_object(it.servers, engine_here.server);
            if (object)
            {
                now_placed.servers.push_back({.server = engine_here.server,
                                              .address = object->address,
                                              .domain = object->domain,
                                              .fencing = engine_here.fencing,
                                              .leaving = object->leaving,
                                              .replicas = engine_here.report.replicas});
            }
        }
        for (const auto& load : step.expected)
        {
            now_placed.expected.push_back(
                {.model = load.model, .domain = own, .ready_at = clock.now() + load.ready_in});
        }
        board.put(own, std::move(now_placed));
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
        weight_store_limits limits;
        {
            std::lock_guard lock(mutex);
            limits = store_limits;
        }
        placer.set_share(split_limits(limits, domains, domain_id(settings.host.domain)));
    }

    milliseconds place()
    {
        auto view = view_now();
        split_store(*view.state);
        auto began = clock.now();
        auto step = placer.step(view);
        counters.observe("banyanshunt_placement_seconds", clock.now() - began);
        auto holds = placer.holder();
        {
            std::lock_guard lock(mutex);
            holder = holds;
        }
        // What another holder's servers hold comes from that holder.
        if (holds == host_id(settings.host.name))
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
    placement_table board;
    demand_relay relay;
    std::mutex mutex;
    std::vector<std::string> neighbours;
    removed_servers listed_servers;
    std::set<server_id> gone;
    weight_store_limits store_limits;
    std::optional<host_id> holder;
    std::atomic<bool> started = false;
    std::unique_ptr<periodic_thread> limits_duty;
    std::unique_ptr<periodic_thread> place_duty;
    std::unique_ptr<periodic_thread> relay_duty;
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
    it.limits_duty = std::make_unique<periodic_thread>([&it] { return it.follow_limits(); });
    it.place_duty = std::make_unique<periodic_thread>([&it] { return it.place(); });
    it.relay_duty = std::make_unique<periodic_thread>([&it] { return it.relay_demand(); });
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
    it.relay_duty->stop();
    it.place_duty->stop();
    it.placer.release();
    it.limits_duty->stop();
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
