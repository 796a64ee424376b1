#include "serve/caller_session.hpp"

#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "platform/headers.hpp"
#include "serve/active_request.hpp"

namespace banyanshunt
{

namespace
{

/// How long a host that stops waits on an idle connection for one more request, which may be on its
/// way.
constexpr milliseconds stop_idle{300};
/// How long the balancer's connection stays open without a question; it asks once a second.
constexpr milliseconds ready_idle{5000};

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

task<void> refuse_bad_request(caller_connection& caller, int status, host_context& core)
{
    core.log.write("bad_request", "status={}", status);
    auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status,
                    std::string_view(reason.data(), reason.size()));
    co_await caller.write(text);
}

/// Waits until a request begins; false if the connection ended or was idle for too long.
task<bool> await_request(host_context& core, caller_connection& caller, milliseconds limit)
{
    if (caller.buffer.size() > 0)
    {
        co_return true;
    }
    asio::steady_timer timer(caller.stream.get_executor());
    instant since = core.now();
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
        auto longest = core.stopping ? stop_idle : limit;
        if (core.now() - since > longest)
        {
            boost::system::error_code ec;
            caller.stream.socket().cancel(ec);
        }
        timer.expires_after(std::min<milliseconds>(longest, milliseconds(1000)));
        co_await timer.async_wait(as_result);
    }
    co_return ready;
}

} // namespace

task<void> serve_caller(host_context& core, tcp::socket socket)
{
    auto caller = std::make_shared<caller_connection>(std::move(socket));
    while (!caller->closed)
    {
        const caller_limits limits = core.config ? core.config->limits : caller_limits();
        if (!co_await await_request(core, *caller, limits.idle_timeout))
        {
            break;
        }
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
        if (ec)
        {
            bool spoke = ec.category() == http::make_error_code(http::error::bad_method).category();
            if (spoke && ec != http::error::end_of_stream && ec != http::error::partial_message)
            {
                co_await refuse_bad_request(*caller, status_of(ec), core);
            }
            break;
        }
        auto run = std::make_shared<active_request>(core, caller, parser.release());
        if (!co_await run->run())
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

using small_answer = http::response<http::string_body>;

/// Answers requests without a body on one connection, each by `handle_call`.
template <class Answer>
task<void> answer_small(tcp::socket socket, Answer answer)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    while (true)
    {
        stream.expires_after(ready_idle);
        http::request<http::empty_body> request;
        auto [ec, n] = co_await http::async_read(stream, buffer, request, as_result);
        if (ec)
        {
            co_return;
        }
        small_answer reply;
        reply.version(11);
        answer(std::string_view(request.target().data(), request.target().size()), reply);
        reply.keep_alive(request.keep_alive());
        reply.prepare_payload();
        auto [write_ec, m] = co_await http::async_write(stream, reply, as_result);
        if (write_ec || !request.keep_alive())
        {
            co_return;
        }
    }
}

void show_metrics(host_context& core, small_answer& reply)
{
    const auto& counters = core.counters;
    core.stats.set("banyanshunt_requests_running", core.requests_open);
    core.stats.set("banyanshunt_repeats", static_cast<double>(counters.retries));
    core.stats.set("banyanshunt_resumed_streams", static_cast<double>(counters.resumed));
    core.stats.set("banyanshunt_orders", static_cast<double>(counters.orders));
    core.stats.set("banyanshunt_loans", static_cast<double>(counters.loans));
    core.stats.set("banyanshunt_log_lines_dropped", static_cast<double>(core.log.dropped()));
    core.stats.set("banyanshunt_hosts", static_cast<double>(core.host_count));
    core.stats.set("banyanshunt_config_version",
                   core.config ? static_cast<double>(core.config->version) : 0);
    std::chrono::duration<double> age =
        core.config_confirmed_at ? core.now() - *core.config_confirmed_at : nanoseconds(0);
    core.stats.set("banyanshunt_config_age_seconds", age.count());
    reply.set(http::field::content_type, "text/plain; version=0.0.4");
    reply.body() = core.stats.text();
}

} // namespace

task<void> serve_ready(host_context& core, tcp::socket socket)
{
    co_await answer_small(std::move(socket),
                          [&core](std::string_view target, small_answer& reply)
                          {
                              bool ready = !core.stopping && core.servers_known &&
                                           core.config_is_fresh(core.now());
                              reply.result(target != platform::ready_path ? http::status::not_found
                                           : ready                        ? http::status::ok
                                                   : http::status::service_unavailable);
                          });
}

task<void> serve_metrics(host_context& core, tcp::socket socket)
{
    co_await answer_small(std::move(socket),
                          [&core](std::string_view target, small_answer& reply)
                          {
                              bool found = target == "/metrics";
                              reply.result(found ? http::status::ok : http::status::not_found);
                              if (found)
                              {
                                  show_metrics(core, reply);
                              }
                          });
}

} // namespace banyanshunt
