#include "transport/http_client.hpp"

#include <array>
#include <map>
#include <mutex>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "coordination/http_status.hpp"
#include "state/clock.hpp"
#include "state/errors.hpp"
#include "transport/loop/event_loop.hpp"

namespace banyanshunt
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::size_t max_idle_connections = 64;
constexpr milliseconds max_idle_time(2000);
/// Largest accepted head of a response, in bytes; that of `shunt-serve`.
constexpr std::uint32_t max_head_bytes = 32768;
/// Largest response that is read whole, in bytes: the largest JSON document that is accepted.
constexpr std::size_t max_response_bytes = 16 << 20;
/// Interim responses that may precede the final one; as many as `shunt-serve` skips.
constexpr int max_interim_responses = 16;

// Whatever arrived, the server may have read the complete request.
failure failure_of(errc code, const http_call& call, std::string_view detail)
{
    return {.run = run_state::may_have_run,
            .code = code,
            .detail = fmt::format("{} {} at {}: {}", call.method, call.path, call.address, detail),
            .retry_after = {}};
}

failure read_failure(const boost::system::error_code& ec, const http_call& call)
{
    if (ec == http::error::header_limit)
    {
        return failure_of(errc::bad_answer, call,
                          fmt::format("the head of the response exceeds {} bytes", max_head_bytes));
    }
    if (ec == http::error::buffer_overflow)
    {
        return failure_of(
            errc::bad_answer, call,
            fmt::format("a line of the response exceeds {} bytes", max_buffered_bytes));
    }
    bool ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
    bool malformed =
        !ended && ec.category() == http::make_error_code(http::error::bad_version).category();
    return failure_of(malformed ? errc::bad_answer : errc::timeout, call, ec.message());
}

// Percent-encodes what would end the target or the request line.
std::string target_of(const std::string& path)
{
    std::string target;
    for (char c : path)
    {
        bool visible = c > ' ' && c < '\x7f';
        target +=
            visible ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return target;
}

http::request<http::string_body> request_of(const http_call& call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(target_of(call.path));
    for (const auto& field : call.headers)
    {
        request.insert(field.name, field.value);
    }
    auto set_missing = [&](http::field name, const std::string& value)
    {
        if (request.find(name) == request.end())
        {
            request.set(name, value);
        }
    };
    set_missing(http::field::host, call.address);
    set_missing(http::field::accept, "*/*");
    if (!call.body.empty())
    {
        set_missing(http::field::content_type, call.content_type);
    }
    request.keep_alive(call.keeps_connection);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

/// A connection with a loop of its own, which runs one operation at a time.
class client_connection
{
public:
    /// Whether a connection to the address was made within the timeout.
    boost::system::error_code connect(const std::string& address, milliseconds timeout)
    {
        auto colon = address.rfind(':');
        boost::system::error_code ec = asio::error::host_not_found;
        if (colon == std::string::npos)
        {
            return ec;
        }
        tcp::resolver resolver(loop_);
        auto found = resolver.resolve(address.substr(0, colon), address.substr(colon + 1), ec);
        if (ec)
        {
            return ec;
        }
        ec = run(timeout, [&](auto done) { stream_.async_connect(found, std::move(done)); });
        if (!ec)
        {
            stream_.socket().set_option(tcp::no_delay(true), ec);
        }
        return ec;
    }

    boost::system::error_code write(const http::request<http::string_body>& request,
                                    milliseconds timeout)
    {
        return run(timeout,
                   [&](auto done) { http::async_write(stream_, request, std::move(done)); });
    }

    template <class Parser>
    boost::system::error_code read_head(Parser& parser, milliseconds timeout)
    {
        return run(timeout, [&](auto done)
                   { http::async_read_header(stream_, buffer_, parser, std::move(done)); });
    }

    template <class Parser>
    boost::system::error_code read_some(Parser& parser, milliseconds timeout)
    {
        return run(timeout, [&](auto done)
                   { http::async_read_some(stream_, buffer_, parser, std::move(done)); });
    }

    /// Whether nothing arrived behind the last response, neither bytes nor the connection's end.
    bool is_reusable() { return buffer_.size() == 0 && is_quiet(stream_.socket()); }

private:
    template <class Start>
    boost::system::error_code run(milliseconds timeout, const Start& start)
    {
        boost::system::error_code result;
        stream_.expires_after(timeout);
        start([&result](boost::system::error_code ec, const auto&...) { result = ec; });
        loop_.restart();
        loop_.run();
        return result;
    }

    asio::io_context loop_{1};
    beast::tcp_stream stream_{loop_};
    beast::flat_buffer buffer_{max_buffered_bytes};
};

/// Receives a chunk of a response with this status; returns a failure to stop reading.
using chunk_handler = std::function<std::optional<failure>(int status, std::string_view chunk)>;

/// The response, and whether its connection can carry another call.
struct exchange_result
{
    http_call_response response;
    bool reusable = false;
};

verdict<exchange_result> read_response(client_connection& connection, const http_call& call,
                                       const chunk_handler& handle)
{
    using response_parser = http::response_parser<http::buffer_body>;
    std::optional<response_parser> parser;
    int status = 0;
    for (int skipped = 0; !parser || is_interim_status(status); ++skipped)
    {
        if (skipped > max_interim_responses)
        {
            return failure_of(errc::bad_answer, call,
                              fmt::format("more than {} interim responses", max_interim_responses));
        }
        parser.emplace();
        parser->header_limit(max_head_bytes);
        parser->body_limit(boost::none);
        parser->skip(call.method == "HEAD");
        if (auto ec = connection.read_head(*parser, call.read_timeout))
        {
            return read_failure(ec, call);
        }
        status = static_cast<int>(parser->get().result_int());
    }
    if (!is_final_status(status))
    {
        return failure_of(errc::bad_answer, call, fmt::format("invalid status {:03}", status));
    }
    exchange_result result;
    result.response.status = status;
    for (const auto& field : parser->get())
    {
        result.response.headers.push_back(
            {.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    result.response.content_type = std::string(parser->get()[http::field::content_type]);
    std::array<char, 16384> buf;
    while (!parser->is_done())
    {
        auto& body = parser->get().body();
        body.data = buf.data();
        body.size = buf.size();
        auto ec = connection.read_some(*parser, call.read_timeout);
        if (ec && ec != http::error::need_buffer)
        {
            return read_failure(ec, call);
        }
        std::size_t n = buf.size() - body.size;
        auto stopped = n > 0 ? handle(status, {buf.data(), n}) : std::nullopt;
        if (stopped)
        {
            return *stopped;
        }
    }
    result.reusable = parser->keep_alive() && !parser->need_eof();
    return result;
}

} // namespace

struct http_client::pool
{
    struct idle_connection
    {
        std::unique_ptr<client_connection> connection;
        instant since;
    };

    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;

    /// An idle connection, or none.
    std::unique_ptr<client_connection> acquire(const http_call& call)
    {
        if (!call.keeps_connection)
        {
            return nullptr;
        }
        std::lock_guard lock(mutex);
        auto& kept = idle[call.address];
        while (!kept.empty() && boot_clock().now() - kept.back().since < max_idle_time)
        {
            auto connection = std::move(kept.back().connection);
            kept.pop_back();
            if (connection->is_reusable())
            {
                return connection;
            }
        }
        kept.clear();
        return nullptr;
    }

    void release(const http_call& call, std::unique_ptr<client_connection> connection)
    {
        std::lock_guard lock(mutex);
        auto& kept = idle[call.address];
        if (kept.size() < max_idle_connections)
        {
            kept.push_back({.connection = std::move(connection), .since = boot_clock().now()});
        }
    }

    void close_idle(const std::string& address)
    {
        std::lock_guard lock(mutex);
        idle.erase(address);
    }

    verdict<http_call_response> exchange(const http_call& call, const chunk_handler& handle)
    {
        auto connection = acquire(call);
        if (!connection)
        {
            connection = std::make_unique<client_connection>();
            if (auto ec = connection->connect(call.address, call.connect_timeout))
            {
                auto unsent = failure_of(errc::unreachable, call, ec.message());
                unsent.run = run_state::not_run;
                return unsent;
            }
        }
        if (auto ec = connection->write(request_of(call), call.read_timeout))
        {
            return failure_of(errc::timeout, call, ec.message());
        }
        auto result = read_response(*connection, call, handle);
        if (!result)
        {
            return result.error();
        }
        if (call.keeps_connection && result->reusable)
        {
            release(call, std::move(connection));
        }
        return std::move(result->response);
    }
};

http_client::http_client() : pool_(std::make_unique<pool>()) {}
http_client::~http_client() = default;

namespace
{

/// Appends the chunk to a body that is kept whole.
std::optional<failure> keep(std::string& body, std::string_view chunk, const http_call& call)
{
    if (body.size() + chunk.size() > max_response_bytes)
    {
        return failure_of(
            errc::bad_answer, call,
            fmt::format("the body of the response exceeds {} bytes", max_response_bytes));
    }
    body += chunk;
    return std::nullopt;
}

} // namespace

verdict<http_call_response> http_client::send(const http_call& call)
{
    std::string body;
    auto response =
        pool_->exchange(call, [&](int, std::string_view chunk) { return keep(body, chunk, call); });
    if (!response)
    {
        pool_->close_idle(call.address);
        return response;
    }
    response->body = std::move(body);
    return response;
}

verdict<http_call_response> http_client::stream(const http_call& call, const body_sink& sink)
{
    bool stopped = false;
    std::string refused;
    auto response = pool_->exchange(
        call,
        [&](int status, std::string_view chunk) -> std::optional<failure>
        {
            if (status != 200)
            {
                return keep(refused, chunk, call);
            }
            stopped = !sink(chunk);
            return stopped ? std::optional(failure_of(errc::timeout, call, "the reader stopped"))
                           : std::nullopt;
        });
    if (!response)
    {
        if (!stopped)
        {
            pool_->close_idle(call.address);
        }
        return response;
    }
    response->body = std::move(refused);
    return response;
}

} // namespace banyanshunt
