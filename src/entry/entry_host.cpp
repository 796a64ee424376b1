#include "entry/entry_host.hpp"

#include "coordination/fixed_shares.hpp"
#include "entry/placement_client.hpp"
#include "entry/request_subsystem.hpp"
#include "entry/share_subsystem.hpp"
#include "entry/state_subsystem.hpp"
#include "state/log_line.hpp"
#include "state/periodic_thread.hpp"

namespace banyanshunt
{
struct entry_host::impl
{
    explicit impl(const entry_settings& given)
        : settings(given), channels(given.peer_keys),
          state_sync(settings, http, channels, counters,
                     [this](const auto& list) { set_hosts(list); }),
          state(state_sync.cell()), equal_shares(state, given.entry_hosts),
          shares(settings, http, channels, counters, state_sync),
          requests({.settings = settings,
                    .state = state,
                    .shares = token_owner(),
                    .http = http,
                    .counters = counters,
                    .wake_demand = [this] { wake_demand(); },
                    .state_age = [this] { return state_sync.state_age(); }}),
          placement(channels, requests.dispatcher(),
                    {.host = host_id(given.host.name),
                     .domain = domain_id(given.host.domain),
                     .busy_interval = given.demand_interval}),
          callers(request_subsystem::server_options(given)),
          admin({.address = given.admin_listen, .threads = 4}),
          peers({.address = given.peer_listen,
                 .credentials = given.peer_keys,
                 .services = peer_services()})
    {
    }

    // Each subsystem that serves peers adds its gRPC service here.
    std::vector<grpc::Service*> peer_services() { return {state_sync.service(), shares.service()}; }

    any_token_source token_owner()
    {
        return owns_shares() ? any_token_source(shares) : any_token_source(equal_shares);
    }

    bool owns_shares() const { return settings.shares.policy == "owned"; }

    // A host that cannot join because the log is unavailable serves on the tokens it can borrow.
    bool has_shares() { return !owns_shares() || shares.is_ready(); }

    void set_hosts(const std::vector<listed_host>& list) { placement.set_hosts(list); }

    milliseconds update_placement() { return placement.step(); }

    void wake_demand() const
    {
        if (placement_thread)
        {
            placement_thread->wake();
        }
    }

    void add_admin_handlers()
    {
        state_sync.add_admin_handlers(admin);
        admin.handle("GET", "/metrics",
                     [this](auto&)
                     {
                         counters.set("banyanshunt_requests_running", requests.handler().running());
                         counters.set("banyanshunt_ticket_in_force",
                                      static_cast<double>(state.get()->last_ticket.count()));
                         return http_response{.content_type = "text/plain; version=0.0.4",
                                              .headers = {},
                                              .body = counters.text(),
                                              .stream = {}};
                     });
        admin.handle("GET", "/ready",
                     [this](auto&)
                     {
                         bool ready = !draining && state.get()->initialized() && has_shares();
                         return http_response{.status = ready ? 200 : 503,
                                              .content_type = "text/plain",
                                              .headers = {},
                                              .body = ready ? "ready\n" : "not ready\n",
                                              .stream = {}};
                     });
    }

    entry_settings settings;
    metrics counters;
    http_client http;
    peer_channels channels;
    state_subsystem state_sync;
    state_cell& state;
    fixed_shares equal_shares;
    share_subsystem shares;
    request_subsystem requests;
    placement_client placement;
    http_server callers;
    http_server admin;
    std::atomic<bool> draining = false;
    std::unique_ptr<periodic_thread> placement_thread;
    peer_server peers;
};

entry_host::entry_host(const entry_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

entry_host::~entry_host() = default;

bool entry_host::start()
{
    impl& it = *impl_;
    if (it.callers.address().empty() || it.admin.address().empty() || it.peers.address().empty())
    {
        log_warning("cannot_listen", "callers={} admin={} peers={}", it.settings.listen,
                    it.settings.admin_listen, it.settings.peer_listen);
        return false;
    }
    it.state_sync.start(it.peers.address(), it.admin.address());
    it.placement_thread =
        std::make_unique<periodic_thread>([&it] { return it.update_placement(); });
    if (it.owns_shares())
    {
        it.shares.start();
    }
    it.requests.start();
    it.requests.add_handlers(it.callers);
    it.add_admin_handlers();
    it.callers.start();
    it.admin.start();
    log_info("entry_started", "host={} domain={} callers={} admin={} peers={}",
             it.settings.host.name, it.settings.host.domain, it.callers.address(),
             it.admin.address(), it.peers.address());
    return true;
}

bool entry_host::stop()
{
    impl& it = *impl_;
    it.draining = true;
    it.state_sync.begin_leaving();
    bool clean = it.requests.drain(it.callers);
    it.callers.stop();
    it.requests.stop();
    if (it.owns_shares())
    {
        it.shares.stop();
    }
    it.placement_thread->stop();
    it.state_sync.stop();
    it.admin.stop();
    log_info("entry_stopped", "clean={}", clean);
    return clean;
}

std::string entry_host::caller_address() const
{
    return impl_->callers.address();
}

std::string entry_host::peer_address() const
{
    return impl_->peers.address();
}

std::string entry_host::admin_address() const
{
    return impl_->admin.address();
}

} // namespace banyanshunt
