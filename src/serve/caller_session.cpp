#include "serve/caller_session.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "platform/headers.hpp"
#include "serve/active_request.hpp"
#include "serve/refusal_response.hpp"

namespace banyanshunt
{

namespace
{

/// How long a host that begins to stop keeps an idle connection open for one more request, which
/// may be in transit.
constexpr milliseconds stopping_idle_timeout{300};
/// Idle timeout of the load balancer's connection; the balancer checks once a second.
constexpr milliseconds ready_idle_timeout{5000};
/// Connections to the ports for the balancer and for metrics: within the descriptors that are
/// reserved for files. The platform has one, and metrics are read by few.
constexpr int max_service_connections = 64;
/// The longest request on these ports, in bytes; the platform's has about a hundred.
constexpr std::size_t max_simple_bytes = 16384;

caller_limits limits_of(const host_context& context)
{
    return context.config ? context.config->limits : caller_limits();
}

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

/// How long the rest of a refused request is read: a caller that has sent a part of a large body
/// reads nothing before it has sent all.
constexpr milliseconds drain_time{4000};
/// What a head or a line of a chunk may need in the buffer beside the limit on heads, in bytes.
constexpr std::size_t buffer_margin = 16384;
/// Retry-After of a request that does not fit the memory: bodies are held for about a second.
constexpr milliseconds memory_retry_after{500};

task<void> refuse_bad_request(caller_connection& caller, int status, host_context& context)
{
    context.log.write("bad_request", "status={}", status);
    auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status,
                    std::string_view(reason.data(), reason.size()));
    co_await caller.write(text);
}

/// Refuses a request before it was read completely, so that it has not run.
task<void> refuse_for_memory(caller_connection& caller, host_context& context)
{
    if (context.bodies->take_new_shortage())
    {
        context.log.write("memory_short", "held_bytes={} budget_bytes={}", context.bodies->held(),
                          context.bodies->total());
    }
    context.stats.increment("banyanshunt_memory_refusals_total");
    std::string text =
        to_text({.reason = "memory", .retry_after = memory_retry_after, .keep_alive = false});
    co_await caller.write(text);
    co_await caller.drain(drain_time);
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
task<bool> await_request(host_context& context, caller_connection& caller)
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
        // By the configuration of that moment, which may have changed during the wait.
        auto idle_limit = max_idle_time(context, caller, limits_of(context).idle_timeout);
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

using caller_parser = http::request_parser<http::string_body>;

/// The workspace of a request by its key; empty if it has none that is known.
workspace_id workspace_of(const host_context& context, const caller_parser& parser)
{
    platform::caller_fields fields;
    for (const auto& field : parser.get())
    {
        platform::read_caller_field({field.name_string().data(), field.name_string().size()},
                                    {field.value().data(), field.value().size()}, fields);
    }
    const auto* workspace =
        context.config ? context.config->find_workspace(fields.api_key) : nullptr;
    return workspace ? workspace->name : workspace_id();
}

/// How the reading of a request ended.
struct read_result
{
    boost::system::error_code ec;
    /// The host has no memory for the body.
    bool no_memory = false;
};

/// Reads the body and the trailer. The trailer is buffered whole, so the buffer's size bounds it;
/// extensions of chunks may be as long as a head together.
task<read_result> read_body(caller_connection& caller, caller_parser& parser,
                            const caller_limits& limits, memory_reservation& memory)
{
    std::uint64_t extension_bytes = 0;
    auto on_chunk =
        [&](std::uint64_t, boost::beast::string_view extensions, boost::system::error_code& ec)
    {
        extension_bytes += extensions.size();
        if (extension_bytes > limits.header_bytes)
        {
            ec = http::error::header_limit;
        }
    };
    parser.on_chunk_header(on_chunk);
    // Takes all that was read at once, rather than one chunk a turn.
    parser.eager(true);
    while (!parser.is_done())
    {
        auto [ec, n] =
            co_await http::async_read_some(caller.stream, caller.buffer, parser, as_result);
        if (ec)
        {
            co_return read_result{.ec = ec};
        }
        if (!memory.grow_to(parser.get().body().capacity()))
        {
            co_return read_result{.ec = {}, .no_memory = true};
        }
    }
    co_return read_result();
}

/// Counts a connection from here on until it is destroyed, and closes others while too many are
/// open.
class counted_connection
{
public:
    counted_connection(host_context& context, const std::shared_ptr<caller_connection>& it)
        : callers_(context.callers), number_(callers_->limit.add())
    {
        callers_->connections.emplace(number_, it);
        while (auto excess = callers_->limit.excess())
        {
            context.stats.increment("banyanshunt_excess_connections_total");
            auto connection = callers_->connections.at(*excess).lock();
            remove(*excess);
            if (connection)
            {
                connection->abort();
            }
        }
    }
    ~counted_connection() { remove(number_); }
    counted_connection(const counted_connection&) = delete;
    counted_connection& operator=(const counted_connection&) = delete;

    void renew() { callers_->limit.renew(number_); }
    void begin_request() { callers_->limit.begin_request(number_); }
    void end_request() { callers_->limit.end_request(number_); }

private:
    void remove(connection_number number)
    {
        callers_->limit.remove(number);
        callers_->connections.erase(number);
    }

    std::shared_ptr<open_connections> callers_;
    connection_number number_;
};

/// Reads the next request into `parser`; false if the connection is to be closed.
task<bool> read_request(host_context& context, caller_connection& caller,
                        counted_connection& counted, caller_parser& parser,
                        memory_reservation& memory)
{
    const caller_limits limits = limits_of(context);
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    caller.buffer.max_size(std::max(limits.header_bytes + buffer_margin, caller.buffer.size()));
    caller.stream.expires_after(limits.header_timeout);
    auto [head_ec, n] =
        co_await http::async_read_header(caller.stream, caller.buffer, parser, as_result);
    read_result result{.ec = head_ec};
    if (!result.ec)
    {
        counted.renew();
        if (!parser.is_done())
        {
            memory = memory_reservation(context.bodies, workspace_of(context, parser));
        }
        if (parser.get()[http::field::expect] == "100-continue")
        {
            co_await caller.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        caller.stream.expires_after(limits.idle_timeout);
        result = co_await read_body(caller, parser, limits, memory);
    }
    caller.stream.expires_never();
    if (result.no_memory)
    {
        co_await refuse_for_memory(caller, context);
        co_return false;
    }
    auto ec = result.ec;
    bool is_http_error = ec.category() == http::make_error_code(http::error::bad_method).category();
    if (ec && is_http_error && ec != http::error::end_of_stream &&
        ec != http::error::partial_message)
    {
        co_await refuse_bad_request(caller, status_of(ec), context);
    }
    co_return !ec;
}

} // namespace

task<void> serve_caller(host_context& context, tcp::socket socket)
{
    auto caller = std::make_shared<caller_connection>(std::move(socket));
    counted_connection counted(context, caller);
    while (!caller->closed)
    {
        if (!co_await await_request(context, *caller))
        {
            break;
        }
        ++context.requests_arriving;
        caller_parser parser;
        memory_reservation memory;
        bool read = co_await read_request(context, *caller, counted, parser, memory);
        --context.requests_arriving;
        if (!read)
        {
            break;
        }
        ++caller->requests;
        counted.begin_request();
        auto active =
            std::make_shared<active_request>(context, caller, parser.release(), std::move(memory));
        if (!co_await active->run())
        {
            break;
        }
        counted.end_request();
    }
    boost::system::error_code ec;
    caller->stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    caller->stream.socket().close(ec);
}

namespace
{

using string_response = http::response<http::string_body>;

/// Serves requests without a body on one connection, unless too many such connections are open;
/// `handler` fills each response.
template <class Handler>
task<void> serve_simple(host_context& context, boost::beast::tcp_stream stream, Handler handler)
{
    boost::beast::flat_buffer buffer(max_simple_bytes);
    ++context.service_connections;
    while (true)
    {
        stream.expires_after(ready_idle_timeout);
        http::request<http::empty_body> request;
        auto [ec, n] = co_await http::async_read(stream, buffer, request, as_result);
        if (ec || context.service_connections > max_service_connections)
        {
            break;
        }
        string_response response;
        response.version(11);
        handler(std::string_view(request.target().data(), request.target().size()), response);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        auto [write_ec, m] = co_await http::async_write(stream, response, as_result);
        if (write_ec || !request.keep_alive())
        {
            break;
        }
    }
    --context.service_connections;
}

void write_metrics(host_context& context, string_response& response)
{
    const auto& counters = context.counters;
    context.stats.set("banyanshunt_requests_running",
                      static_cast<double>(context.open_requests.size()));
    context.stats.set("banyanshunt_repeats", static_cast<double>(counters.retries));
    context.stats.set("banyanshunt_resumed_streams", static_cast<double>(counters.resumed));
    context.stats.set("banyanshunt_orders", static_cast<double>(counters.orders));
    context.stats.set("banyanshunt_body_bytes_held", static_cast<double>(context.bodies->held()));
    context.stats.set("banyanshunt_body_bytes_budget",
                      static_cast<double>(context.bodies->total()));
    context.stats.set("banyanshunt_caller_connections",
                      static_cast<double>(context.callers->limit.open()));
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
    std::chrono::duration<double> age = context.config_age(context.now());
    context.stats.set("banyanshunt_config_age_seconds", std::max(age.count(), 0.0));
    std::chrono::duration<double> servers_age = context.servers_age(context.now());
    context.stats.set("banyanshunt_servers_age_seconds", std::max(servers_age.count(), 0.0));
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = context.stats.text();
}

} // namespace

task<void> serve_ready(host_context& context, tcp::socket socket)
{
    co_await serve_simple(context, boost::beast::tcp_stream(std::move(socket)),
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
    co_await serve_simple(context, boost::beast::tcp_stream(std::move(socket)),
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
