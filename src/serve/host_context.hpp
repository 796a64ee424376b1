#pragma once

/// \file
/// State that the subsystems of one entry host share. All of it is used on the event loop's thread
/// only.

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "coordination/backend_table.hpp"
#include "coordination/config_ground.hpp"
#include "coordination/connection_limit.hpp"
#include "coordination/memory_budget.hpp"
#include "coordination/planned_stop.hpp"
#include "coordination/prompt_quarantine.hpp"
#include "coordination/random_source.hpp"
#include "coordination/request_rates.hpp"
#include "coordination/run_times.hpp"
#include "coordination/server_list_age.hpp"
#include "coordination/share_ledger.hpp"
#include "coordination/shared_retry_budget.hpp"
#include "coordination/unserved_targets.hpp"
#include "serve/event_log.hpp"
#include "serve/wait_list.hpp"
#include "state/host_settings.hpp"
#include "state/serving_config.hpp"
#include "transport/loop/backend_pool.hpp"
#include "transport/metrics.hpp"

namespace banyanshunt
{

/// Counters since start; /metrics shows them beside those of `metrics`.
struct host_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0;
    std::uint64_t orders = 0;
    std::uint64_t loans = 0;
};

/// Where a load request went.
enum class load_request_route
{
    /// This host orders the engine.
    own_engine,
    /// Sent to the host that orders the engine; may be lost.
    sent,
    /// No host is known to order the engine, so nothing was sent.
    no_owner,
};

constexpr const char* to_text(load_request_route it)
{
    switch (it)
    {
    case load_request_route::own_engine:
        return "own_engine";
    case load_request_route::sent:
        return "sent";
    default:
        return "no_owner";
    }
}

/// The response to a request for a permit to send a server one request.
struct permit_response
{
    bool granted = false;
    /// Until the permit may be used; if refused, until the next one is free.
    milliseconds wait{0};
    /// When a granted permit may be used.
    instant valid_from = {};
    instant valid_until = {};
};

/// Requests loads, tokens and permits on behalf of requests. Implemented by `peer_service`.
class resource_provider
{
public:
    virtual ~resource_provider() = default;
    /// Notifies the owner of the server's engine that a request waits for `unit` there.
    virtual load_request_route request_load(const server_id& server, const model_target& unit,
                                            milliseconds waited) = 0;
    /// Acquires tokens of a workspace, borrowing from peers if needed.
    virtual task<bool> acquire_tokens(workspace_id workspace, millitokens amount) = 0;
    /// Acquires a permit to send one request to a server that states a limit.
    virtual task<permit_response> acquire_permit(server_id server, milliseconds max_wait) = 0;
};

/// Which host reads the platform's topics for others in a failure domain.
struct view_sync_state
{
    /// Another host reads for this one and sends it the result.
    bool read_by_other = false;
    /// When another host last requested what this one has read, if one ever did.
    std::optional<instant> requested_at;
};

/// The memory for bodies; the other part of a host's memory is for the process itself, connections,
/// responses and tables. No bound if the settings state no memory.
inline std::size_t body_budget(const host_settings& settings)
{
    constexpr double body_fraction = 0.4;
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    return settings.memory_mb == 0
               ? std::numeric_limits<std::size_t>::max() / 2
               : static_cast<std::size_t>(body_fraction * bytes_per_mb *
                                          static_cast<double>(settings.memory_mb));
}

/// How many connections of callers are kept open: each request in progress also has one to a
/// server, and the platform reserves 200 descriptors for files; and what callers may make them
/// buffer, 32 KB each, fits a quarter of the memory. No bound where the settings state none.
inline std::size_t max_caller_connections(const host_settings& settings)
{
    constexpr std::size_t reserved_descriptors = 200;
    constexpr std::size_t connections_per_mb = 8;
    constexpr std::size_t no_bound = std::numeric_limits<std::size_t>::max();
    std::size_t by_memory =
        settings.memory_mb == 0 ? no_bound : connections_per_mb * settings.memory_mb;
    std::size_t all = settings.max_descriptors;
    std::size_t by_descriptors = all == 0 ? no_bound
                                 : all < 2 * reserved_descriptors
                                     ? all / 4
                                     : (all - reserved_descriptors) / 2;
    return std::max<std::size_t>(1, std::min(by_memory, by_descriptors));
}

class active_request;
class caller_connection;

/// The open connections of callers. Shared with their sessions, which may outlive the context when
/// the host ends.
struct open_connections
{
    explicit open_connections(std::size_t max_open) : limit(max_open) {}

    connection_limit limit;
    std::map<connection_number, std::weak_ptr<caller_connection>> connections;
};

struct host_context
{
    host_context(host_settings initial, asio::any_io_executor loop)
        : settings(std::move(initial)), executor(std::move(loop)), random(make_seeded_rng()),
          incarnation(static_cast<std::int64_t>(random() >> 1)),
          servers({.own_domain = settings.domain,
                   .own_host = settings.name,
                   .takeover_time = 2 * settings.bounds.lease}),
          pool(backend_pool_options{}), ledger({.loan_duration = milliseconds(600),
                                                .loan_margin = milliseconds(200),
                                                .surplus_horizon = milliseconds(200)}),
          log(event_log_options{})
    {
    }

    instant now() const { return boot_clock().now(); }
    /// Returns a random part of `period`.
    milliseconds random_delay(milliseconds period)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(0, period.count())(random));
    }
    /// Fraction of a bound on how long outdated state is used within which that state must be
    /// confirmed. The rest covers the transit of a request to its server.
    static constexpr double confirmed_ratio = 0.88;
    /// Whether the configuration was confirmed recently enough to judge keys by it.
    bool config_is_fresh(instant at) const
    {
        auto confirmed_at = ground.confirmed_at();
        return config && confirmed_at && at - *confirmed_at < max_config_age();
    }
    /// 0 for none.
    config_version version_in_force() const { return config_version(config ? config->version : 0); }
    /// What to do before a decision by the configuration.
    ground_verdict judge_config(instant at) const { return ground.judge(version_in_force(), at); }
    milliseconds max_config_age() const
    {
        return std::chrono::duration_cast<milliseconds>(settings.bounds.key_revocation *
                                                        confirmed_ratio);
    }
    /// Whether an evacuation may be in force that this host has not read, where the deployment
    /// bounds the time until it has to be.
    bool evacuation_may_be_unknown(instant at) const
    {
        auto bound = settings.bounds.evacuation;
        auto max_age = std::chrono::duration_cast<milliseconds>(bound * confirmed_ratio);
        auto confirmed_at = ground.confirmed_at();
        return bound.count() > 0 && (!confirmed_at || at - *confirmed_at >= max_age);
    }
    /// Time since the configuration was confirmed; negative if it never was.
    milliseconds config_age(instant at) const
    {
        auto confirmed_at = ground.confirmed_at();
        return confirmed_at ? std::chrono::floor<milliseconds>(at - *confirmed_at)
                            : milliseconds(-1);
    }
    /// Time since the server list was confirmed; negative if it never was.
    milliseconds servers_age(instant at) const
    {
        auto confirmed_at = list_age.confirmed_at();
        return confirmed_at ? std::chrono::floor<milliseconds>(at - *confirmed_at)
                            : milliseconds(-1);
    }
    /// Greatest age of the server list at which a request may be sent by it.
    milliseconds max_server_list_age() const
    {
        return std::chrono::duration_cast<milliseconds>(settings.bounds.drain * confirmed_ratio);
    }
    /// How long a host that starts waits for the bans before it takes requests.
    static constexpr milliseconds bans_timeout{500};
    bool bans_known_or_overdue() const { return bans_known || now() - started_at >= bans_timeout; }
    list_verdict judge_server_list() const { return list_age.judge(max_server_list_age(), now()); }
    /// Wait list key of requests that wait for the server list to be confirmed.
    static constexpr const char* server_list_wait_key = "server_list";
    /// How often this host requests another replica of one model while the existing replicas serve
    /// its requests.
    static constexpr milliseconds replica_request_period{300};
    bool may_request_replica(const model_id& model)
    {
        instant& last_request = replica_requested[model];
        if (now() - last_request < replica_request_period)
        {
            return false;
        }
        last_request = now();
        return true;
    }
    /// Counts a request, an order or a call for a report as sent to a server.
    void record_send(const server_id& server)
    {
        servers.limits().record_sent(server, now());
        if (servers.limits().in_force(server))
        {
            stats.increment("banyanshunt_limited_sends_total");
        }
    }
    /// Logs a change of a server's limit, and by what it was learned.
    void log_limit_change(const server_id& server, limit_change change, const char* learned_by)
    {
        if (change != limit_change::none)
        {
            auto rate = servers.limits().rate(server).value_or(millirequests_per_second(0));
            log.write("server_limit", "server={} change={} per_s={:.3f} learned_by={} sent={}",
                      server.str(), to_text(change),
                      static_cast<double>(rate.count()) / millirequests_per_request, learned_by,
                      servers.limits().recent_sends(server, now()));
        }
    }
    /// Records that a server leaves, as a response to this host or a peer said.
    void record_leaving(const server_id& server, const leaving_notice& notice)
    {
        if (!servers.notices().record_leaving(server, notice, now()))
        {
            return;
        }
        log.write("server_leaving", "server={} source={} born={} age_ms={}", server.str(),
                  to_text(notice.source), notice.start_time_ms,
                  std::chrono::floor<milliseconds>(now() - notice.stated_at).count());
        const auto* known = servers.find(server);
        if (known && servers.leaves(*known))
        {
            pool.close_idle(known->entry.address);
        }
        waiting.wake_all();
        if (notice.source == notice_source::response)
        {
            on_server_leaving(server);
        }
    }
    /// Records that a server wants no requests from this host for some time.
    void record_pause(const server_id& server, std::int64_t start_time_ms, milliseconds length)
    {
        if (servers.notices().record_pause(server, start_time_ms, length, now()))
        {
            log.write("server_paused", "server={} born={} for_ms={}", server.str(), start_time_ms,
                      length.count());
        }
    }
    shared_retry_budget& budget(const service_id& service)
    {
        return budgets
            .try_emplace(service, shared_retry_budget({.ratio = settings.bounds.retry_ratio,
                                                       .extra = settings.bounds.retry_extra,
                                                       .window = settings.bounds.retry_window},
                                                      now()))
            .first->second;
    }

    /// Traffic between domains is charged by the byte, so reports between domains cost no more than
    /// those of this many hosts at the usual period: 9, the smallest deployment.
    static constexpr double base_fleet_size = 9;
    /// Factor by which the periods of fleet-wide reports are lengthened.
    double report_scale() const
    {
        return std::max(1.0, static_cast<double>(host_count) / base_fleet_size);
    }

    host_settings settings;
    asio::any_io_executor executor;
    std::mt19937_64 random;
    incarnation_id incarnation;
    serving_config_ptr config;
    config_ground ground{{.apply = settings.bounds.ticket_apply}};
    /// Everything before this offset of the configuration's topic has been read.
    log_offset config_end;
    bool servers_known = false;
    server_list_age list_age;
    /// Makes a call that confirms the configuration.
    std::function<void()> refresh_config = [] {};
    /// Reads the configuration completely, wherever this host stands in its topic.
    std::function<void()> reread_config = [] {};
    /// Wait list key of requests that wait for the configuration to be confirmed.
    static constexpr const char* config_wait_key = "config";
    /// Requests a call that confirms the server list.
    std::function<void()> refresh_server_list = [] {};
    backend_table servers;
    /// Bodies of requests, from their first byte to the end of the request.
    std::shared_ptr<memory_budget> bodies = std::make_shared<memory_budget>(body_budget(settings));
    std::shared_ptr<open_connections> callers =
        std::make_shared<open_connections>(max_caller_connections(settings));
    /// Connections to the ports for the load balancer and for metrics.
    int service_connections = 0;
    /// When the last order of this host ended that an engine may carry out late.
    std::optional<instant> last_late_order;
    prompt_quarantine quarantine;
    /// Servers of which it is being found out whether they have ended, with the parts of the
    /// requests that they had not begun to answer when their connections ended.
    std::map<server_id, std::set<prompt_part>> end_checks;
    /// Wait list key of requests that wait for what is found out, or for another request's end.
    static constexpr const char* quarantine_wait_key = "quarantine";
    /// Whether the bans that earlier processes decided on were read.
    bool bans_known = false;
    instant started_at = now();
    backend_pool pool;
    share_ledger ledger;
    /// Entry hosts that share rates and budgets, including this one.
    std::size_t host_count = 1;
    std::map<service_id, shared_retry_budget> budgets;
    std::map<model_id, instant> replica_requested;
    view_sync_state view;
    wait_list waiting;
    unserved_targets unserved{unserved_targets_options{}};
    event_log log;
    metrics stats;
    host_counters counters;
    resource_provider* resources = nullptr;
    /// Called after another configuration was applied.
    std::function<void()> on_config_change = [] {};
    /// Called after a server was found to be cold.
    std::function<void(const server_id&)> on_server_cold = [](const server_id&) {};
    /// Called after a response showed a change of a server's limit.
    std::function<void(const server_id&, limit_change)> on_limit_change = [](const server_id&,
                                                                             limit_change) {};
    /// Called after a response showed that a server leaves.
    std::function<void(const server_id&)> on_server_leaving = [](const server_id&) {};
    /// Called when a server's connection ended under a request with these parts in its prompt, and
    /// its response had not begun or hardly so.
    std::function<void(const server_id&, const std::vector<prompt_part>&)> on_connection_lost =
        [](const server_id&, const std::vector<prompt_part>&) {};
    /// Called when a response to a request with these parts began and its server went on.
    std::function<void(const std::vector<prompt_part>&)> on_sound_response =
        [](const std::vector<prompt_part>&) {};
    /// Set once this host was asked to stop.
    std::optional<planned_stop> stop;
    run_times durations{run_times_options{}};
    /// By wait list key of the requests.
    request_rates<std::string> arrivals;
    /// How old other hosts' reports of their loads are on average.
    nanoseconds report_age{0};
    /// How many requests with this wait list key other hosts have probably sent since they reported
    /// their loads, if callers ask them as often as this host.
    double unseen_requests(const std::string& key) const
    {
        std::chrono::duration<double> age = report_age;
        return settings.spread_load
                   ? arrivals.rate(key, now()) * static_cast<double>(host_count - 1) * age.count()
                   : 0;
    }
    /// The requests without a final response.
    std::set<std::weak_ptr<active_request>, std::owner_less<>> open_requests;
    /// Requests of which a part has been read.
    int requests_arriving = 0;
};

} // namespace banyanshunt
