#include "serve/serving_host.hpp"

#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>

#include "serve/caller_session.hpp"
#include "serve/host_context.hpp"
#include "serve/peer_service.hpp"
#include "serve/topic_reader.hpp"

namespace banyanshunt
{

namespace
{

/// The balancer asks once a second and needs two misses; it sends no new connections after this.
constexpr milliseconds balancer_notices{2600};
/// Requests that come later after the request to stop are refused: a third of the usual grace, so
/// that the rest is there for those that run.
constexpr milliseconds still_served{3200};
/// What is left of the grace for the last requests' answers to reach their callers.
constexpr milliseconds stop_margin{400};
constexpr milliseconds tick_period{500};
constexpr int listen_backlog = 512;

/// Accepts connections and runs `serve` for each.
template <class Serve>
task<void> accept_all(host_context& core, tcp::acceptor& acceptor, Serve serve)
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
            core.log.write("accept_failed", "detail=\"{}\"", ec.message());
            co_await pause(milliseconds(20));
            continue;
        }
        asio::co_spawn(core.executor, serve(core, std::move(socket)),
                       [&core](const std::exception_ptr& thrown)
                       {
                           if (thrown)
                           {
                               core.log.write("session_failed", "detail=exception");
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

struct serving_host::parts
{
    explicit parts(host_settings settings)
        : core(std::move(settings), loop.get_executor()), callers(loop), ready(loop), scrapes(loop),
          signals(loop, SIGTERM, SIGINT, SIGHUP), follower(core), peers(core, follower)
    {
        core.resources = &peers;
    }

    task<void> handle_signals();
    void begin_stop();
    task<void> stop();
    task<void> tick();

    asio::io_context loop{1};
    host_context core;
    tcp::acceptor callers;
    tcp::acceptor ready;
    tcp::acceptor scrapes;
    asio::signal_set signals;
    state_watcher follower;
    peer_service peers;
};

task<void> serving_host::parts::handle_signals()
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
            // The settings that this host reads do not change while it lives.
            core.log.write("reload", "detail=\"settings unchanged\"");
            continue;
        }
        begin_stop();
    }
}

void serving_host::parts::begin_stop()
{
    if (!core.stopping)
    {
        core.stopping = true;
        asio::co_spawn(loop, stop(), asio::detached);
    }
}

task<void> serving_host::parts::stop()
{
    instant asked = core.now();
    core.refuse_from = asked + still_served;
    core.stop_deadline = asked + core.settings.bounds.stop_grace - stop_margin;
    core.log.write("stop_begun", "requests_open={}", core.requests_open);
    while (core.now() < core.stop_deadline)
    {
        bool unnoticed = core.now() - asked < balancer_notices;
        if (!unnoticed && core.requests_open == 0)
        {
            break;
        }
        co_await pause(milliseconds(50));
    }
    co_await peers.leave();
    core.log.write("stop_ended", "requests_open={}", core.requests_open);
    loop.stop();
}

task<void> serving_host::parts::tick()
{
    while (true)
    {
        co_await pause(tick_period);
        core.pool.prune(core.now());
    }
}

serving_host::serving_host(host_settings settings)
    : parts_(std::make_unique<parts>(std::move(settings)))
{
}

serving_host::~serving_host() = default;

int serving_host::run()
{
    auto& it = *parts_;
    const auto& settings = it.core.settings;
    for (auto [acceptor, address] : {std::pair(&it.callers, settings.caller_address),
                                     std::pair(&it.ready, settings.ready_address)})
    {
        if (auto ec = listen_on(*acceptor, address))
        {
            it.core.log.write("listen_failed", "address={} detail=\"{}\"", address.str(),
                              ec.message());
            return 1;
        }
    }
    endpoint_text metrics_address(fmt::format("{}:{}", settings.ip, settings.metrics_port));
    if (auto ec = listen_on(it.scrapes, metrics_address))
    {
        // Callers are served without metrics.
        it.core.log.write("listen_failed", "address={} detail=\"{}\"", metrics_address.str(),
                          ec.message());
    }
    else
    {
        asio::co_spawn(it.loop, accept_all(it.core, it.scrapes, serve_metrics), asio::detached);
    }
    it.core.log.write("start", "host={} domain={} life={}", settings.name.str(),
                      settings.domain.str(), it.core.incarnation.count());
    asio::co_spawn(it.loop, it.handle_signals(), asio::detached);
    asio::co_spawn(it.loop, it.follower.run_config(), asio::detached);
    asio::co_spawn(it.loop, it.follower.run_servers(), asio::detached);
    asio::co_spawn(it.loop, it.tick(), asio::detached);
    asio::co_spawn(it.loop, accept_all(it.core, it.callers, serve_caller), asio::detached);
    asio::co_spawn(it.loop, accept_all(it.core, it.ready, serve_ready), asio::detached);
    it.peers.start();
    it.loop.run();
    return 0;
}

void serving_host::request_stop()
{
    asio::post(parts_->loop, [this] { parts_->begin_stop(); });
}

} // namespace banyanshunt
