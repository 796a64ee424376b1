#include "serve/server_exchange.hpp"

#include <boost/asio/write.hpp>

namespace banyanshunt
{

namespace
{

/// The largest head of an answer that is taken, in bytes: twice the usual bound on requests' heads.
constexpr std::uint32_t most_head_bytes = 32768;

} // namespace

void server_exchange::heard()
{
    heard_at_ = core_.now();
    core_.servers.record_received(server_, heard_at_);
}

task<exchange_state> server_exchange::send(std::string request, request_id id,
                                           std::function<bool()> may_send)
{
    const auto* known = core_.servers.find(server_);
    if (!known)
    {
        co_return exchange_state::not_sent;
    }
    connection_ = co_await core_.pool.acquire(known->entry.address);
    if (!connection_ || closed_)
    {
        co_return exchange_state::not_sent;
    }
    if (!may_send())
    {
        core_.pool.release(std::move(connection_), std::nullopt);
        co_return exchange_state::withheld;
    }
    heard_at_ = core_.now();
    auto [ec, n] =
        co_await asio::async_write(connection_->stream.socket(), asio::buffer(request), as_result);
    if (ec)
    {
        co_return exchange_state::no_response;
    }
    while (co_await read_head())
    {
        bool ours = fields_.id.empty() || fields_.id == id.str();
        bool interim = status() < 200;
        if (ours && !interim)
        {
            co_return exchange_state::responded;
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
    parser_->header_limit(most_head_bytes);
    parser_->body_limit(boost::none);
    auto [ec, n] = co_await http::async_read_header(connection_->stream, connection_->buffer,
                                                    *parser_, as_result);
    if (ec || closed_)
    {
        parser_.reset();
        co_return false;
    }
    heard();
    fields_ = {};
    for (const auto& field : parser_->get())
    {
        platform::read_server_field({field.name_string().data(), field.name_string().size()},
                                    {field.value().data(), field.value().size()}, fields_);
    }
    co_return true;
}

task<std::string> server_exchange::read_rest()
{
    std::string rest;
    while (auto piece = co_await read_some())
    {
        rest += *piece;
    }
    co_return rest;
}

task<bool> server_exchange::skip_body()
{
    co_await read_rest();
    co_return complete() && parser_->keep_alive();
}

task<std::optional<std::string_view>> server_exchange::read_some()
{
    while (!closed_ && parser_ && !parser_->is_done())
    {
        auto& body = parser_->get().body();
        body.data = piece_.data();
        body.size = piece_.size();
        auto [ec, n] = co_await http::async_read_some(connection_->stream, connection_->buffer,
                                                      *parser_, as_result);
        if (closed_ || (ec && ec != http::error::need_buffer))
        {
            co_return std::nullopt;
        }
        heard();
        std::size_t got = piece_.size() - body.size;
        if (got > 0)
        {
            co_return std::string_view(piece_.data(), got);
        }
    }
    co_return std::nullopt;
}

void server_exchange::finish()
{
    if (connection_ && !closed_ && complete() && parser_->keep_alive() && !parser_->need_eof())
    {
        core_.pool.release(std::move(connection_), fields_.keep_alive);
    }
}

void server_exchange::close()
{
    closed_ = true;
    if (connection_)
    {
        boost::system::error_code ec;
        connection_->stream.socket().close(ec);
    }
}

std::optional<std::uint64_t> server_exchange::content_length() const
{
    auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

exchange_deadline::exchange_deadline(server_exchange& exchange,
                                     const asio::any_io_executor& executor, milliseconds length)
    : exchange_(std::make_shared<server_exchange*>(&exchange)), timer_(executor)
{
    timer_.expires_after(length);
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
