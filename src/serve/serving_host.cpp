#include "serve/serving_host.hpp"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include "serve/active_request.hpp"
#include "serve/caller_session.hpp"
#include "serve/host_context.hpp"
#include "serve/loop_runner.hpp"
#include "serve/peer_service.hpp"
#include "serve/settings_reload.hpp"
#include "serve/state_watcher.hpp"

namespace banyanshunt
{

namespace
{

/// The load balancer checks once a second and needs two misses; it sends no new connections after
/// this.
constexpr milliseconds balancer_detection_time{2600};
/// Reserve of the grace period: requests that still run are ended at its begin, and their last
/// responses reach their callers in it.
constexpr milliseconds stop_margin{400};
/// How long the requests that were ended may take to write their last responses.
constexpr milliseconds last_write_time{200};
constexpr milliseconds stop_check_period{50};
constexpr milliseconds tick_period{500};
constexpr int listen_backlog = 512;

/// Accepts connections and runs `serve` for each.
template <class Serve>
task<void> accept_all(host_context& context, tcp::acceptor& acceptor, Serve serve)
{
    while (true)
    {
        auto [ec, socket] = co_await acceptor.async_accept(as_result);
        if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor)
        {
            co_return;
        }
        if (ec)
        {
            context.log.write("accept_failed", "detail=\"{}\"", ec.message());
            co_await pause(milliseconds(20));
            continue;
        }
        asio::co_spawn(context.executor, serve(context, std::move(socket)),
                       [&context](const std::exception_ptr& thrown)
                       {
                           if (thrown)
                           {
                               context.log.write("session_failed", "detail=exception");
                           }
                       });
    }
}

boost::system::error_code listen_on(tcp::acceptor& acceptor, const endpoint_text& address)
{
    boost::system::error_code ec;
    auto endpoint = to_endpoint(address);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec)
    {
        acceptor.bind(endpoint, ec);
    }
    if (!ec)
    {
        acceptor.listen(listen_backlog, ec);
    }
    return ec;
}

} // namespace

struct serving_host::impl
{
    impl(host_settings settings, std::string path)
        : settings_path(std::move(path)), context(std::move(settings), loop.get_executor()),
          caller_acceptor(loop), ready_acceptor(loop), metrics_acceptor(loop),
          signals(loop, SIGTERM, SIGINT, SIGHUP), watcher(context), peers(context, watcher)
    {
        context.resources = &peers;
    }

    task<void> handle_signals();
    void start_stop();
    task<void> stop();
    task<void> leave();
    /// Ends the requests that still run at `at`, and this host.
    task<void> end_at(instant at);
    /// Ends the requests that still run, each with the truest response that it can still get;
    /// returns how many there were.
    task<std::size_t> end_requests();
    void end_request(active_request& request);
    task<void> tick();

    std::string settings_path;
    asio::io_context loop{1};
    host_context context;
    tcp::acceptor caller_acceptor;
    tcp::acceptor ready_acceptor;
    tcp::acceptor metrics_acceptor;
    asio::signal_set signals;
    state_watcher watcher;
    peer_service peers;
    /// Whether engines are given up, for a planned stop.
    bool left = false;
};

task<void> serving_host::impl::handle_signals()
{
    while (true)
    {
        auto [ec, number] = co_await signals.async_wait(as_result);
        if (ec)
        {
            co_return;
        }
        if (number == SIGHUP)
        {
            check_settings_file(context, settings_path);
            continue;
        }
        start_stop();
    }
}

void serving_host::impl::start_stop()
{
    if (!context.stop)
    {
        context.stop.emplace(planned_stop_options{.requested_at = context.now(),
                                                  .grace = context.settings.bounds.stop_grace,
                                                  .margin = stop_margin,
                                                  .balancer_delay = balancer_detection_time});
        context.log.write("stop_begun", "requests_open={}", context.open_requests.size());
        // Beside the wait for requests, as a slow store may take longer than the grace period.
        spawn_once(context, "leave", leave(), [this] { left = true; });
        spawn_once(context, "stop", stop(),
                   [this] {
                       spawn_once(context, "stop_end", end_at(context.stop->deadline()),
                                  [this] { loop.stop(); });
                   });
    }
}

task<void> serving_host::impl::stop()
{
    while (context.now() < context.stop->deadline())
    {
        bool idle = context.open_requests.empty() && context.requests_arriving == 0;
        if (idle && left && !context.stop->balancer_may_send(context.now()))
        {
            break;
        }
        co_await pause(stop_check_period);
    }
    co_await end_at(context.now());
}

task<void> serving_host::impl::leave()
{
    co_await peers.leave();
    left = true;
}

task<void> serving_host::impl::end_at(instant at)
{
    if (at > context.now())
    {
        co_await pause(at - context.now());
    }
    // Nothing may suspend between the last look at open requests and the end of the loop, which
    // cuts those that are open.
    std::size_t ended = co_await end_requests();
    context.log.write("stop_ended", "requests_open={} ended={}", context.open_requests.size(),
                      ended);
    loop.stop();
}

void serving_host::impl::end_request(active_request& request)
{
    try
    {
        request.end_for_stop();
    }
    catch (...)
    {
        // The others still get their responses.
        record_loop_failure(context, "stop_request", std::current_exception(), milliseconds(-1));
    }
}

task<std::size_t> serving_host::impl::end_requests()
{
    std::size_t ended = 0;
    for (const auto& it : context.open_requests)
    {
        if (auto request = it.lock())
        {
            end_request(*request);
            ++ended;
        }
    }
    instant until = context.now() + last_write_time;
    while (!context.open_requests.empty() && context.now() < until)
    {
        co_await pause(stop_check_period / 10);
    }
    co_return ended;
}

task<void> serving_host::impl::tick()
{
    while (true)
    {
        co_await pause(tick_period);
        context.pool.prune(context.now());
        if (context.bodies->end_shortage())
        {
            context.log.write("memory_short_ended", "held_bytes={} budget_bytes={}",
                              context.bodies->held(), context.bodies->total());
        }
    }
}

serving_host::serving_host(host_settings settings, std::string settings_path)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(settings_path)))
{
}

serving_host::~serving_host() = default;

int serving_host::run()
{
    auto& it = *impl_;
    const auto& settings = it.context.settings;
    for (auto [acceptor, address] : {std::pair(&it.caller_acceptor, settings.caller_address),
                                     std::pair(&it.ready_acceptor, settings.ready_address)})
    {
        if (auto ec = listen_on(*acceptor, address))
        {
            it.context.log.write("listen_failed", "address={} detail=\"{}\"", address.str(),
                                 ec.message());
            return 1;
        }
    }
    endpoint_text metrics_address(fmt::format("{}:{}", settings.ip, settings.metrics_port));
    if (auto ec = listen_on(it.metrics_acceptor, metrics_address))
    {
        // Callers are served without metrics.
        it.context.log.write("listen_failed", "address={} detail=\"{}\"", metrics_address.str(),
                             ec.message());
    }
    else
    {
        spawn_loop(it.context, "accept_metrics",
                   [&it] { return accept_all(it.context, it.metrics_acceptor, serve_metrics); });
    }
    it.context.log.write("start", "host={} domain={} life={}", settings.name.str(),
                         settings.domain.str(), it.context.incarnation.count());
    spawn_loop(it.context, "signals", [&it] { return it.handle_signals(); });
    it.watcher.start();
    spawn_loop(it.context, "tick", [&it] { return it.tick(); });
    spawn_loop(it.context, "accept_callers",
               [&it] { return accept_all(it.context, it.caller_acceptor, serve_caller); });
    spawn_loop(it.context, "accept_ready",
               [&it] { return accept_all(it.context, it.ready_acceptor, serve_ready); });
    it.peers.start();
    it.loop.run();
    return 0;
}

void serving_host::request_stop()
{
    asio::post(impl_->loop, [this] { impl_->start_stop(); });
}

} // namespace banyanshunt
