#include "entry/entry_host.hpp"

#include <thread>

#include "coordination/fixed_shares.hpp"
#include "coordination/state_follower.hpp"
#include "entry/placement_follower.hpp"
#include "entry/request_handler.hpp"
#include "protocol/claim_codec.hpp"
#include "protocol/ticket_codec.hpp"
#include "state/duty_thread.hpp"
#include "state/log_line.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds log_wait(1000);
constexpr milliseconds failed_read_pause(200);
constexpr milliseconds host_list_interval(500);
constexpr milliseconds drain_poll(10);
constexpr milliseconds sweep_interval(100);

} // namespace

struct entry_host::impl
{
    explicit impl(const entry_settings& given)
        : settings(given), log(http, given.platform.log, given.platform.patience),
          hosts(http, given.platform.hosts), engine(http), service(http),
          shares(state, given.entry_hosts), board({.most_waiting = given.most_waiting,
                                                   .choice = {.slots = given.requests.slots},
                                                   .health = {},
                                                   .seed = system_seeded()()}),
          line(given.threads / 8, given.threads / 4),
          batcher(log, {.appends_per_second = given.requests.claim_appends}),
          claims(log, batcher,
                 {.writer = fmt::format("{}-{:x}", given.host.name, system_seeded()()),
                  .codec = {.encode = encode_claim_record, .decode = decode_claim_record}}),
          channels(given.peer_keys),
          placement(channels, board,
                    {.host = host_id(given.host.name), .domain = domain_id(given.host.domain)}),
          follower(log, state, decode_ticket, [this](const auto& it) { note_ticket(it); }),
          handler({.settings = settings,
                   .state = state,
                   .shares = shares,
                   .line = line,
                   .board = board,
                   .claims = claims,
                   .engine = engine,
                   .service = service,
                   .counters = counters,
                   .wake_demand = [this] { wake_demand(); }}),
          callers({.address = given.listen,
                   .threads = given.threads,
                   .refusal = encode_failure({.run = run_state::not_run,
                                              .code = errc::queue_full,
                                              .detail = "too many requests are under way",
                                              .retry_after = milliseconds(1000)})}),
          admin({.address = given.admin_listen, .threads = 4})
    {
    }

    void note_ticket(const ticket_outcome& it)
    {
        if (it.refused)
        {
            log_warning("ticket_refused", "offset={} ticket={} reason=\"{}\"", it.offset.count(),
                        it.number.count(), it.refused->detail);
            counters.count("banyanshunt_tickets_total", {{"result", "refused"}});
            return;
        }
        log_change("ticket_in_force", "ticket={} offset={}", it.number.count(), it.offset.count());
        counters.count("banyanshunt_tickets_total", {{"result", "accepted"}});
    }

    milliseconds follow_tickets()
    {
        auto step = follower.step(log_wait);
        bool heard = step.has_value();
        if (heard != log_heard)
        {
            log_change(heard ? "log_heard" : "log_silent", "address={}", settings.platform.log);
            log_heard = heard;
        }
        return heard ? milliseconds(0) : failed_read_pause;
    }

    milliseconds follow_hosts()
    {
        auto listed = hosts.hosts();
        if (listed)
        {
            std::vector<std::string> placers;
            for (const auto& host : *listed)
            {
                if (host.role == "placer")
                {
                    placers.push_back(host.address);
                }
            }
            placement.set_placers(std::move(placers));
        }
        return host_list_interval;
    }

    milliseconds follow_placement()
    {
        placement.step();
        return settings.demand_interval;
    }

    milliseconds sweep_waiting()
    {
        handler.sweep();
        return sweep_interval;
    }

    // Outcomes of claimed calls that wait for their append.
    void flush_claims() const
    {
        instant limit = boot_clock().now() + settings.platform.patience;
        while (batcher.waiting() > 0 && boot_clock().now() < limit)
        {
            std::this_thread::sleep_for(drain_poll);
        }
    }

    void wake_demand() const
    {
        if (placement_duty)
        {
            placement_duty->wake();
        }
    }

    void add_caller_handlers()
    {
        callers.handle("POST", "/v1/completions",
                       [this](auto& it) { return handler.completion(it, false); });
        callers.handle("POST", "/v1/chat/completions",
                       [this](auto& it) { return handler.completion(it, true); });
        callers.handle("GET", "/v1/models", [this](auto& it) { return handler.models(it); });
        for (const char* method : {"GET", "POST", "PUT", "DELETE"})
        {
            callers.handle(method, "/.*", [this](auto& it) { return handler.plain_call(it); });
        }
    }

    void add_admin_handlers()
    {
        admin.handle("GET", "/metrics",
                     [this](auto&)
                     {
                         counters.set("banyanshunt_requests_running", handler.running());
                         counters.set("banyanshunt_ticket_in_force",
                                      static_cast<double>(state.get()->last_ticket.count()));
                         return http_reply{.content_type = "text/plain; version=0.0.4",
                                           .headers = {},
                                           .body = counters.text(),
                                           .stream = {}};
                     });
        admin.handle("GET", "/ready",
                     [this](auto&)
                     {
                         bool ready = !draining && state.get()->known();
                         return http_reply{.status = ready ? 200 : 503,
                                           .content_type = "text/plain",
                                           .headers = {},
                                           .body = ready ? "ready\n" : "not ready\n",
                                           .stream = {}};
                     });
    }

    entry_settings settings;
    metrics counters;
    state_cell state;
    http_client http;
    http_log_service log;
    http_host_list hosts;
    http_model_engine engine;
    http_plain_service service;
    fixed_shares shares;
    replica_board board;
    token_line line;
    log_batcher<http_log_service> batcher;
    claim_desk<http_log_service> claims;
    peer_channels channels;
    placement_follower placement;
    state_follower<http_log_service> follower;
    request_handler handler;
    http_server callers;
    http_server admin;
    std::atomic<bool> draining = false;
    bool log_heard = true;
    std::unique_ptr<duty_thread> ticket_duty;
    std::unique_ptr<duty_thread> host_duty;
    std::unique_ptr<duty_thread> placement_duty;
    std::unique_ptr<duty_thread> waiting_duty;
    std::unique_ptr<duty_thread> claim_duty;
};

entry_host::entry_host(const entry_settings& settings) : impl_(std::make_unique<impl>(settings)) {}

entry_host::~entry_host() = default;

bool entry_host::start()
{
    impl& it = *impl_;
    if (it.callers.address().empty() || it.admin.address().empty())
    {
        log_warning("cannot_listen", "callers={} admin={}", it.settings.listen,
                    it.settings.admin_listen);
        return false;
    }
    it.ticket_duty = std::make_unique<duty_thread>([&it] { return it.follow_tickets(); });
    it.host_duty = std::make_unique<duty_thread>([&it] { return it.follow_hosts(); });
    it.placement_duty = std::make_unique<duty_thread>([&it] { return it.follow_placement(); });
    it.waiting_duty = std::make_unique<duty_thread>([&it] { return it.sweep_waiting(); });
    it.claim_duty = std::make_unique<duty_thread>([&it] { return it.batcher.step(); });
    it.add_caller_handlers();
    it.add_admin_handlers();
    it.callers.start();
    it.admin.start();
    log_change("entry_started", "host={} domain={} callers={} admin={}", it.settings.host.name,
               it.settings.host.domain, it.callers.address(), it.admin.address());
    return true;
}

bool entry_host::stop()
{
    impl& it = *impl_;
    it.draining = true;
    std::this_thread::sleep_for(it.settings.requests.drain_notice);
    it.callers.drain();
    it.handler.drain();
    log_change("draining", "running={}", it.handler.running());
    instant limit = boot_clock().now() + it.settings.drain_limit;
    while (it.handler.running() > 0 && boot_clock().now() < limit)
    {
        std::this_thread::sleep_for(drain_poll);
    }
    bool clean = it.handler.running() == 0;
    it.callers.stop();
    it.flush_claims();
    it.claim_duty->stop();
    it.waiting_duty->stop();
    it.placement_duty->stop();
    it.host_duty->stop();
    it.ticket_duty->stop();
    it.admin.stop();
    log_change("entry_stopped", "clean={}", clean);
    return clean;
}

std::string entry_host::caller_address() const
{
    return impl_->callers.address();
}

std::string entry_host::admin_address() const
{
    return impl_->admin.address();
}

} // namespace banyanshunt
