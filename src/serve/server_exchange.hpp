#pragma once

/// \file
/// One exchange with a backend server: sends a request and reads the head of the matching response.
/// The user of the exchange reads the body.

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

#include "coordination/response_proof.hpp"
#include "platform/headers.hpp"
#include "serve/host_context.hpp"

namespace banyanshunt
{

namespace http = boost::beast::http;

/// Progress of an exchange.
enum class exchange_state
{
    /// The head of the response was received.
    responded,
    /// No connection could be made; nothing was sent.
    not_sent,
    /// The request must not be sent any more; nothing was sent.
    withheld,
    /// All or some of the request was sent, and no response to it arrived.
    no_response,
};

/// A request as it is sent. Its body may be large and is kept for a repeat, so it is not copied.
struct outgoing_request
{
    std::string head;
    /// Valid until the exchange ends.
    std::string_view body = {};
};

class server_exchange
{
public:
    server_exchange(host_context& context, server_id server)
        : context_(context), server_(std::move(server))
    {
    }

    /// Makes the request, or nothing if it must not be sent. Called when the
    /// connection is established, right before the first byte is sent, because what the request
    /// states and rests on may have changed since the server was chosen.
    using request_source = std::function<std::optional<outgoing_request>()>;

    /// Sends a request and reads the head of the response to `id`, which is empty for a call that
    /// has no id. Responses that are not proven to be this one are read and dropped.
    task<exchange_state> send(request_source make_request, request_id id);
    /// Reads the rest of the body; what is longer than usual ends incomplete.
    task<std::string> read_rest();
    /// Reads and drops the rest of the body, so that the connection can be used again. Gives up on
    /// one that is long or slow.
    task<void> discard_rest();
    /// Reads the next chunk of the response body. Empty at its end or if it breaks off; `complete`
    /// tells these apart.
    task<std::optional<std::string_view>> read_some();
    bool complete() const { return parser_ && parser_->is_done(); }
    /// Returns the connection to the pool if the response was read completely.
    void finish();
    /// Closes the connection, which ends pending operations on it; the server cancels its work.
    void close();

    int status() const { return static_cast<int>(parser_->get().result_int()); }
    const http::response<http::buffer_body>& head() const { return parser_->get(); }
    const platform::server_response_fields& fields() const { return fields_; }
    std::optional<std::uint64_t> content_length() const;
    /// Whether the server's side ended the connection while it was used: before the end of a
    /// response, or as the end of one that states none.
    bool lost() const { return lost_ || (complete() && parser_->need_eof()); }
    /// Whether the head of the response to the request was received.
    bool responded() const { return matched_; }
    /// When the last byte of the response to the request was received.
    instant received_at() const { return received_at_; }
    /// The longest time without a byte of the response since the request was written, up to now.
    nanoseconds longest_silence() const;
    const server_id& server() const { return server_; }
    /// When the request was written, and the age of the server list then; empty if it was not.
    std::optional<instant> written_at() const { return written_at_; }
    milliseconds servers_age() const { return servers_age_; }

private:
    task<bool> read_head();
    /// Reads into the parser until it has a head.
    task<boost::system::error_code> parse_head();
    task<bool> skip_body();
    /// Reads and drops at most `max_bytes` of the body; returns whether that was all.
    task<bool> drop_body(std::size_t max_bytes);
    void on_received();
    void record_end(const boost::system::error_code& ec);
    /// Records that bytes of the response to the request were received.
    void record_progress(instant now);
    /// Counts and logs a response without an id that may be another request's.
    void record_unproven(const request_id& id);
    /// Counts and logs a head whose status no response to a request can have.
    void record_invalid_status(const request_id& id);
    /// Records what the head that was just read states of the server's limit.
    void record_limit(response_match match);
    /// Records what it states of the server's leaving, and of a time without requests.
    void record_notices(response_match match);
    /// Keeps the connection for reuse, unless the server leaves.
    void release_connection(std::optional<milliseconds> keep_alive);

    host_context& context_;
    server_id server_;
    backend_connection_ptr connection_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    platform::server_response_fields fields_;
    instant sent_at_;
    instant received_at_;
    nanoseconds longest_silence_{0};
    std::optional<instant> written_at_;
    milliseconds servers_age_{-1};
    /// Start time of the incarnation that the request was sent to.
    std::int64_t start_time_ms_ = 0;
    /// What heads on this connection stated before the response to the request; that shows which
    /// server made them.
    bool unproven_leaving_ = false;
    milliseconds unproven_pause_{0};
    bool closed_ = false;
    bool lost_ = false;
    /// Whether the response to the request was found; others may precede it.
    bool matched_ = false;
    std::array<char, 8192> read_buffer_;
};

/// Closes an exchange when its timeout expires, unless it is destroyed before.
class exchange_deadline
{
public:
    exchange_deadline(server_exchange& exchange, const asio::any_io_executor& executor,
                      milliseconds timeout);
    ~exchange_deadline() { *exchange_ = nullptr; }
    exchange_deadline(const exchange_deadline&) = delete;
    exchange_deadline& operator=(const exchange_deadline&) = delete;

private:
    std::shared_ptr<server_exchange*> exchange_;
    asio::steady_timer timer_;
};

} // namespace banyanshunt
