#include "serve/caller_session.hpp"

#include <algorithm>

#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "platform/headers.hpp"
#include "serve/active_request.hpp"

namespace banyanshunt
{

namespace
{

/// How long a host that begins to stop keeps an idle connection open for one more request, which
/// may be in transit.
constexpr milliseconds stopping_idle_timeout{300};
/// Idle timeout of the load balancer's connection; the balancer checks once a second.
constexpr milliseconds ready_idle_timeout{5000};

int status_of(boost::system::error_code ec)
{
    if (ec == http::error::body_limit)
    {
        return 413;
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    {
        return 431;
    }
    return 400;
}

task<void> refuse_bad_request(caller_connection& caller, int status, host_context& context)
{
    context.log.write("bad_request", "status={}", status);
    auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status,
                    std::string_view(reason.data(), reason.size()));
    co_await caller.write(text);
}

/// How long a connection may be idle. Once the balancer has noticed a stop, a caller loses nothing
/// if its connection is closed after a response: its next request goes to another host at once.
milliseconds max_idle_time(const host_context& context, const caller_connection& caller,
                           milliseconds limit)
{
    if (!context.stop)
    {
        return limit;
    }
    bool is_new = caller.requests == 0;
    return is_new || context.stop->balancer_may_send(context.now()) ? stopping_idle_timeout
                                                                    : milliseconds(0);
}

/// Waits until a request begins; false if the connection was closed or idle for too long.
task<bool> await_request(host_context& context, caller_connection& caller, milliseconds limit)
{
    if (caller.buffer.size() > 0)
    {
        co_return true;
    }
    asio::steady_timer timer(caller.stream.get_executor());
    instant since = context.now();
    bool ready = false;
    bool ended = false;
    caller.stream.socket().async_wait(tcp::socket::wait_read,
                                      [&](boost::system::error_code ec)
                                      {
                                          ready = !ec;
                                          ended = true;
                                          timer.cancel();
                                      });
    while (!ended)
    {
        auto idle_limit = max_idle_time(context, caller, limit);
        if (context.now() - since > idle_limit)
        {
            boost::system::error_code ec;
            caller.stream.socket().cancel(ec);
        }
        timer.expires_after(std::min<milliseconds>(idle_limit, milliseconds(1000)));
        co_await timer.async_wait(as_result);
    }
    co_return ready;
}

} // namespace

task<void> serve_caller(host_context& context, tcp::socket socket)
{
    auto caller = std::make_shared<caller_connection>(std::move(socket));
    while (!caller->closed)
    {
        const caller_limits limits = context.config ? context.config->limits : caller_limits();
        if (!co_await await_request(context, *caller, limits.idle_timeout))
        {
            break;
        }
        ++context.requests_arriving;
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
        caller->stream.expires_after(limits.header_timeout);
        auto [head_ec, n] =
            co_await http::async_read_header(caller->stream, caller->buffer, parser, as_result);
        if (!head_ec && parser.get()[http::field::expect] == "100-continue")
        {
            co_await caller->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        auto ec = head_ec;
        if (!ec)
        {
            caller->stream.expires_after(limits.idle_timeout);
            auto [body_ec, m] =
                co_await http::async_read(caller->stream, caller->buffer, parser, as_result);
            ec = body_ec;
        }
        caller->stream.expires_never();
        --context.requests_arriving;
        if (ec)
        {
            bool is_http_error =
                ec.category() == http::make_error_code(http::error::bad_method).category();
            if (is_http_error && ec != http::error::end_of_stream &&
                ec != http::error::partial_message)
            {
                co_await refuse_bad_request(*caller, status_of(ec), context);
            }
            break;
        }
        ++caller->requests;
        auto active = std::make_shared<active_request>(context, caller, parser.release());
        if (!co_await active->run())
        {
            break;
        }
    }
    boost::system::error_code ec;
    caller->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    caller->stream.socket().close(ec);
}

namespace
{

using string_response = http::response<http::string_body>;

/// Serves requests without a body on one connection; `handler` fills each response.
template <class Handler>
task<void> serve_simple(tcp::socket socket, Handler handler)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    while (true)
    {
        stream.expires_after(ready_idle_timeout);
        http::request<http::empty_body> request;
        auto [ec, n] = co_await http::async_read(stream, buffer, request, as_result);
        if (ec)
        {
            co_return;
        }
        string_response response;
        response.version(11);
        handler(std::string_view(request.target().data(), request.target().size()), response);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        auto [write_ec, m] = co_await http::async_write(stream, response, as_result);
        if (write_ec || !request.keep_alive())
        {
            co_return;
        }
    }
}

void write_metrics(host_context& context, string_response& response)
{
    const auto& counters = context.counters;
    context.stats.set("banyanshunt_requests_running",
                      static_cast<double>(context.open_requests.size()));
    context.stats.set("banyanshunt_repeats", static_cast<double>(counters.retries));
    context.stats.set("banyanshunt_resumed_streams", static_cast<double>(counters.resumed));
    context.stats.set("banyanshunt_orders", static_cast<double>(counters.orders));
    context.stats.set("banyanshunt_loans", static_cast<double>(counters.loans));
    context.stats.set("banyanshunt_log_lines_dropped", static_cast<double>(context.log.dropped()));
    context.stats.set("banyanshunt_hosts", static_cast<double>(context.host_count));
    context.stats.set("banyanshunt_config_version",
                      context.config ? static_cast<double>(context.config->version) : 0);
    context.stats.set("banyanshunt_unserved_targets",
                      static_cast<double>(context.unserved.count(context.now())));
    context.stats.set(
        "banyanshunt_kept_targets",
        static_cast<double>(context.servers.count_targets() + context.durations.count_models()));
    const auto& limits = context.servers.limits().statements();
    context.stats.set("banyanshunt_limited_servers",
                      static_cast<double>(std::count_if(limits.begin(), limits.end(),
                                                        [](const auto& it)
                                                        { return it.second.rate.has_value(); })));
    const auto& servers = context.servers.servers();
    context.stats.set("banyanshunt_leaving_servers",
                      static_cast<double>(std::count_if(
                          servers.begin(), servers.end(),
                          [&](const auto& it) { return context.servers.leaves(it.second); })));
    context.stats.set("banyanshunt_paused_servers",
                      static_cast<double>(context.servers.notices().count_paused(context.now())));
    std::chrono::duration<double> age =
        context.config_confirmed_at ? context.now() - *context.config_confirmed_at : nanoseconds(0);
    context.stats.set("banyanshunt_config_age_seconds", age.count());
    std::chrono::duration<double> servers_age = context.servers_age(context.now());
    context.stats.set("banyanshunt_servers_age_seconds", std::max(servers_age.count(), 0.0));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = context.stats.text();
}

} // namespace

task<void> serve_ready(host_context& context, tcp::socket socket)
{
    co_await serve_simple(std::move(socket),
                          [&context](std::string_view target, string_response& response)
                          {
                              bool ready = !context.stop && context.servers_known &&
                                           context.bans_known_or_overdue() &&
                                           context.config_is_fresh(context.now());
                              response.result(target != platform::ready_path
                                                  ? http::status::not_found
                                              : ready ? http::status::ok
                                                      : http::status::service_unavailable);
                          });
}

task<void> serve_metrics(host_context& context, tcp::socket socket)
{
    co_await serve_simple(std::move(socket),
                          [&context](std::string_view target, string_response& response)
                          {
                              bool found = target == "/metrics";
                              response.result(found ? http::status::ok : http::status::not_found);
                              if (found)
                              {
                                  write_metrics(context, response);
                              }
                          });
}

} // namespace banyanshunt
