#pragma once

/// \file
/// Defines one exchange with a backend server: a request sent, and the head of the answer that
/// belongs to it. What follows of the answer is read by its user.

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

#include "platform/headers.hpp"
#include "serve/host_context.hpp"

namespace banyanshunt
{

namespace http = boost::beast::http;

/// How far an exchange came.
enum class exchange_state
{
    /// The answer's head is here.
    responded,
    /// No connection could be made; nothing was sent.
    not_sent,
    /// `may_send` said no; nothing was sent.
    withheld,
    /// The request was sent, or a part of it, and no answer to it came.
    no_response,
};

class server_exchange
{
public:
    server_exchange(host_context& core, server_id server) : core_(core), server_(std::move(server))
    {
    }

    /// Sends `request`, a whole request with its head, and reads the head of the answer to `id`.
    /// Answers to other requests are read and dropped.
    /// `may_send` is asked when the connection stands, right before the first byte goes out.
    task<exchange_state> send(std::string request, request_id id, std::function<bool()> may_send);
    /// Reads what is left of the body.
    task<std::string> read_rest();
    /// Reads the next piece of the answer's body. Nothing at its end or when it breaks off;
    /// `complete` tells which.
    task<std::optional<std::string_view>> read_some();
    bool complete() const { return parser_ && parser_->is_done(); }
    /// Gives the connection back for reuse if the answer was read whole.
    void finish();
    /// Closes the connection, which ends what waits on it; the server stops its work.
    void close();

    int status() const { return static_cast<int>(parser_->get().result_int()); }
    const http::response<http::buffer_body>& head() const { return parser_->get(); }
    const platform::server_response_fields& fields() const { return fields_; }
    std::optional<std::uint64_t> content_length() const;
    /// When the last byte came.
    instant received_at() const { return heard_at_; }
    const server_id& server() const { return server_; }

private:
    task<bool> read_head();
    task<bool> skip_body();
    void heard();

    host_context& core_;
    server_id server_;
    backend_connection_ptr connection_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    platform::server_response_fields fields_;
    instant heard_at_;
    bool closed_ = false;
    std::array<char, 8192> piece_;
};

/// Closes an exchange when its time is over, unless it is destroyed before.
class exchange_deadline
{
public:
    exchange_deadline(server_exchange& exchange, const asio::any_io_executor& executor,
                      milliseconds length);
    ~exchange_deadline() { *exchange_ = nullptr; }
    exchange_deadline(const exchange_deadline&) = delete;
    exchange_deadline& operator=(const exchange_deadline&) = delete;

private:
    std::shared_ptr<server_exchange*> exchange_;
    asio::steady_timer timer_;
};

} // namespace banyanshunt
