#include "serve/server_exchange.hpp"

#include <algorithm>
#include <iterator>

#include <boost/asio/write.hpp>

#include "coordination/http_status.hpp"

namespace banyanshunt
{

namespace
{

/// Largest accepted response head, in bytes: twice the usual bound on request heads.
constexpr std::uint32_t max_head_bytes = 32768;
/// Most fields of a response head. Each takes tens of bytes beyond its text, so that a head of
/// short ones would take many times its size.
constexpr std::ptrdiff_t max_head_fields = 256;
/// Status with which a server turns a request away and may say for how long it wants no others.
constexpr int refused_for_load_status = 503;
/// Interim responses, and responses to other requests, that may precede the response to a request.
constexpr int max_skipped_responses = 16;
/// How long the answer is awaited behind a response that may be a copy of an earlier one. A sound
/// server can fall silent for a second.
constexpr milliseconds second_response_timeout{1000};
/// Largest body of such a response, in bytes.
constexpr std::size_t max_skipped_bytes = 1 << 20;
/// Largest response that is read whole, in bytes: an engine's report.
constexpr std::size_t max_read_bytes = 4 << 20;
/// Limits on a body that is only read to keep its connection.
constexpr std::size_t max_discarded_bytes = 65536;
constexpr milliseconds discard_timeout{100};

} // namespace

void server_exchange::record_progress(instant now)
{
    longest_silence_ = std::max(longest_silence_, now - received_at_);
    received_at_ = now;
}

nanoseconds server_exchange::longest_silence() const
{
    return std::max(longest_silence_, context_.now() - received_at_);
}

void server_exchange::record_end(const boost::system::error_code& ec)
{
    bool ended_by_peer = ec == http::error::end_of_stream || ec == http::error::partial_message ||
                         ec == asio::error::eof || ec == asio::error::connection_reset ||
                         ec == asio::error::connection_aborted || ec == asio::error::broken_pipe;
    lost_ = lost_ || (ended_by_peer && !closed_);
}

void server_exchange::on_received()
{
    instant now = context_.now();
    context_.servers.record_received(server_, now);
    if (matched_)
    {
        record_progress(now);
    }
}

task<exchange_state> server_exchange::send(request_source make_request, request_id id)
{
    const auto* known = context_.servers.find(server_);
    if (!known)
    {
        co_return exchange_state::not_sent;
    }
    start_time_ms_ = known->entry.start_time_ms;
    received_at_ = context_.now();
    connection_ = co_await context_.pool.acquire(known->entry.address, id);
    if (!connection_ || closed_)
    {
        co_return exchange_state::not_sent;
    }
    // Asked for all that is sent: requests of callers, orders and calls for reports.
    bool accepted = context_.servers.accepts(server_, start_time_ms_, context_.now());
    auto request = accepted ? make_request() : std::nullopt;
    if (!request)
    {
        release_connection(std::nullopt);
        co_return exchange_state::withheld;
    }
    context_.record_send(server_);
    connection_->history.record_sent(id);
    received_at_ = sent_at_ = context_.now();
    written_at_ = sent_at_;
    servers_age_ = context_.servers_age(sent_at_);
    std::array<asio::const_buffer, 2> parts{
        asio::buffer(request->head), asio::buffer(request->body.data(), request->body.size())};
    auto [ec, n] = co_await asio::async_write(connection_->stream.socket(), parts, as_result);
    if (ec)
    {
        record_end(ec);
        co_return exchange_state::no_response;
    }
    std::optional<exchange_deadline> second_response;
    for (int skipped = 0; skipped <= max_skipped_responses && co_await read_head(); ++skipped)
    {
        bool interim = is_interim_status(status());
        if (!interim && !is_final_status(status()))
        {
            record_invalid_status(id);
            close();
            break;
        }
        auto match = connection_->history.judge(id, fields_.id, interim);
        record_limit(match);
        record_notices(match);
        if (is_answer(match))
        {
            matched_ = true;
            record_progress(context_.now());
            co_return exchange_state::responded;
        }
        if (!interim)
        {
            connection_->history.record_foreign_response();
        }
        if (match == response_match::unproven && !second_response)
        {
            record_unproven(id);
            second_response.emplace(*this, context_.executor, second_response_timeout);
        }
        if (!co_await skip_body())
        {
            break;
        }
    }
    co_return exchange_state::no_response;
}

task<bool> server_exchange::read_head()
{
    if (closed_)
    {
        co_return false;
    }
    parser_.emplace();
    parser_->header_limit(max_head_bytes);
    parser_->body_limit(boost::none);
    if (auto ec = co_await parse_head(); ec || closed_)
    {
        record_end(ec);
        parser_.reset();
        co_return false;
    }
    on_received();
    fields_ = {};
    for (const auto& field : parser_->get())
    {
        platform::read_server_field({field.name_string().data(), field.name_string().size()},
                                    {field.value().data(), field.value().size()}, fields_);
    }
    co_return true;
}

task<boost::system::error_code> server_exchange::parse_head()
{
    auto& buf = connection_->buffer;
    while (true)
    {
        if (buf.size() > 0)
        {
            boost::system::error_code ec;
            buf.consume(parser_->put(buf.data(), ec));
            // Counted before more is read: beast reads on until the head is complete.
            const auto& fields = parser_->get();
            if (std::distance(fields.begin(), fields.end()) > max_head_fields)
            {
                co_return http::error::header_limit;
            }
            if (parser_->is_header_done() || (ec && ec != http::error::need_more))
            {
                co_return ec;
            }
        }
        std::size_t size = boost::beast::read_size(buf, max_head_bytes);
        if (size == 0)
        {
            co_return http::error::buffer_overflow;
        }
        auto [read_ec, n] =
            co_await connection_->stream.async_read_some(buf.prepare(size), as_result);
        buf.commit(n);
        if (read_ec)
        {
            co_return read_ec;
        }
    }
}

void server_exchange::record_unproven(const request_id& id)
{
    context_.stats.increment("banyanshunt_unproven_responses_total");
    context_.log.write("response_unproven", "request={} server={} status={}",
                       id.empty() ? "-" : id.str(), server_.str(), status());
}

void server_exchange::record_invalid_status(const request_id& id)
{
    context_.stats.increment("banyanshunt_invalid_statuses_total");
    context_.log.write("status_invalid", "request={} server={} status={}",
                       id.empty() ? "-" : id.str(), server_.str(), status());
}

void server_exchange::record_limit(response_match match)
{
    if (match == response_match::exact && status() == platform::misdirected_status)
    {
        // It may come from another server at the address, which does not show that this server
        // stated no limit.
        match = response_match::unidentified;
    }
    auto change = context_.servers.limits().record_response(server_, start_time_ms_, fields_.limit,
                                                            match, sent_at_, received_at_);
    if (fields_.limit)
    {
        context_.stats.increment("banyanshunt_limited_responses_total",
                                 {{"match", to_text(match)}});
    }
    if (change != limit_change::none)
    {
        context_.log_limit_change(server_, change, to_text(match));
        context_.on_limit_change(server_, change);
    }
}

void server_exchange::record_notices(response_match match)
{
    auto pause = status() == refused_for_load_status ? fields_.retry_after.value_or(milliseconds(0))
                                                     : milliseconds(0);
    auto count = [&](const char* name, bool stated)
    {
        if (stated)
        {
            context_.stats.increment(name, {{"match", to_text(match)}});
        }
    };
    count("banyanshunt_leaving_responses_total", fields_.leaving);
    count("banyanshunt_pause_responses_total", pause.count() > 0);
    count("banyanshunt_malformed_server_fields_total", fields_.malformed > 0);
    if (!is_answer(match))
    {
        unproven_leaving_ = unproven_leaving_ || fields_.leaving;
        unproven_pause_ = std::max(unproven_pause_, pause);
        return;
    }
    // A misdirected response may come from another server that has the address now.
    bool made_by_server = fields_.made_by.empty() ? status() != platform::misdirected_status
                                                  : fields_.made_by == server_;
    if (!made_by_server)
    {
        return;
    }
    if (fields_.leaving || unproven_leaving_)
    {
        context_.record_leaving(server_, {.start_time_ms = start_time_ms_,
                                          .source = notice_source::response,
                                          .stated_at = context_.now()});
    }
    context_.record_pause(server_, start_time_ms_, std::max(pause, unproven_pause_));
}

task<std::string> server_exchange::read_rest()
{
    std::string rest;
    while (auto data = co_await read_some())
    {
        rest += *data;
        if (rest.size() > max_read_bytes)
        {
            close();
        }
    }
    co_return rest;
}

task<bool> server_exchange::drop_body(std::size_t max_bytes)
{
    std::size_t sum = 0;
    while (auto data = co_await read_some())
    {
        sum += data->size();
        if (sum > max_bytes)
        {
            co_return false;
        }
    }
    co_return complete();
}

task<bool> server_exchange::skip_body()
{
    co_return co_await drop_body(max_skipped_bytes) && parser_->keep_alive();
}

task<void> server_exchange::discard_rest()
{
    exchange_deadline deadline(*this, context_.executor, discard_timeout);
    if (!co_await drop_body(max_discarded_bytes))
    {
        close();
    }
}

task<std::optional<std::string_view>> server_exchange::read_some()
{
    // What came before a close is still read: `complete` counts it, and it may be the end.
    while (parser_ && !parser_->is_done())
    {
        auto& body = parser_->get().body();
        body.data = read_buffer_.data();
        body.size = read_buffer_.size();
        auto [ec, n] = co_await http::async_read_some(connection_->stream, connection_->buffer,
                                                      *parser_, as_result);
        if (ec && ec != http::error::need_buffer)
        {
            record_end(ec);
            co_return std::nullopt;
        }
        on_received();
        std::size_t size = read_buffer_.size() - body.size;
        if (size > 0)
        {
            co_return std::string_view(read_buffer_.data(), size);
        }
    }
    co_return std::nullopt;
}

void server_exchange::finish()
{
    if (connection_ && !closed_ && complete() && parser_->keep_alive() && !parser_->need_eof())
    {
        release_connection(fields_.keep_alive);
    }
}

void server_exchange::release_connection(std::optional<milliseconds> keep_alive)
{
    const auto* known = context_.servers.find(server_);
    if (known && known->entry.start_time_ms == start_time_ms_ && !context_.servers.leaves(*known))
    {
        context_.pool.release(std::move(connection_), keep_alive);
    }
    else
    {
        close();
    }
}

void server_exchange::close()
{
    closed_ = true;
    if (connection_)
    {
        boost::system::error_code ec;
        // Resets the connection: bytes that are not acknowledged yet must not arrive later.
        connection_->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        connection_->stream.socket().close(ec);
    }
}

std::optional<std::uint64_t> server_exchange::content_length() const
{
    auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

exchange_deadline::exchange_deadline(server_exchange& exchange,
                                     const asio::any_io_executor& executor, milliseconds timeout)
    : exchange_(std::make_shared<server_exchange*>(&exchange)), timer_(executor)
{
    timer_.expires_after(timeout);
    timer_.async_wait(
        [it = exchange_](boost::system::error_code ec)
        {
            if (!ec && *it)
            {
                (*it)->close();
            }
        });
}

} // namespace banyanshunt
