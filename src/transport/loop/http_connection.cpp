#include "transport/loop/http_connection.hpp"

#include <algorithm>

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http.hpp>

#include "coordination/http_status.hpp"

namespace banyanshunt
{

namespace http = boost::beast::http;

namespace
{

/// The largest response accepted, in bytes: a page of the newest records in base64, with a margin.
constexpr std::uint64_t max_response_bytes = 8 * 1024 * 1024;
/// Interim responses that may precede the response to a call.
constexpr int max_interim_responses = 16;
/// The timeout for a new connection. The log accepts one within milliseconds also while its
/// responses are slow, and a lost SYN is retransmitted only after a second.
constexpr milliseconds connect_timeout{300};

} // namespace

task<std::optional<call_response>> http_connection::call(std::string method, std::string target,
                                                         std::string body, milliseconds timeout)
{
    try
    {
        co_return co_await exchange(std::move(method), std::move(target), std::move(body), timeout);
    }
    catch (...)
    {
        // The response to this call may still come, and must not be taken for that to the next.
        stream_.reset();
        throw;
    }
}

task<std::optional<call_response>> http_connection::exchange(std::string method, std::string target,
                                                             std::string body, milliseconds timeout)
{
    if (stream_ && (buffer_.size() > 0 || !is_quiet(stream_->socket())))
    {
        // What came after the last response would be taken for this call's.
        stream_.reset();
    }
    reused_ = stream_ != nullptr;
    if (!stream_)
    {
        buffer_.clear();
        stream_ = std::make_unique<boost::beast::tcp_stream>(co_await asio::this_coro::executor);
        stream_->expires_after(std::min(timeout, connect_timeout));
        auto [ec] = co_await stream_->async_connect(to_endpoint(address_), as_result);
        if (ec)
        {
            stream_.reset();
            co_return std::nullopt;
        }
        set_socket_options(stream_->socket());
    }
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, address_.str());
    if (!body.empty())
    {
        bool json = body.front() == '{';
        request.set(http::field::content_type,
                    json ? "application/json" : "application/octet-stream");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    stream_->expires_after(timeout);
    auto [write_ec, written] = co_await http::async_write(*stream_, request, as_result);
    if (write_ec)
    {
        stream_.reset();
        co_return std::nullopt;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    auto status = [&] { return static_cast<int>(parser->get().result_int()); };
    for (int skipped = 0; !parser || is_interim_status(status()); ++skipped)
    {
        parser.emplace();
        parser->body_limit(max_response_bytes);
        auto [read_ec, n] = co_await http::async_read(*stream_, buffer_, *parser, as_result);
        if (read_ec || skipped > max_interim_responses)
        {
            stream_.reset();
            co_return std::nullopt;
        }
    }
    if (!is_final_status(status()))
    {
        stream_.reset();
        co_return std::nullopt;
    }
    auto& response = parser->get();
    call_response result{.status = status(), .body = std::move(response.body())};
    if (!response.keep_alive())
    {
        stream_.reset();
    }
    else
    {
        stream_->expires_never();
    }
    co_return result;
}

void http_connection::cancel()
{
    if (stream_)
    {
        stream_->cancel();
    }
}

} // namespace banyanshunt
