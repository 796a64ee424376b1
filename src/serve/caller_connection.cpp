#include "serve/caller_connection.hpp"

#include <array>

#include <sys/socket.h>

#include <boost/asio/write.hpp>

namespace banyanshunt
{

void caller_connection::watch(std::function<void()> on_close)
{
    on_close_ = std::move(on_close);
    ++watch_generation_;
    wait_for_close();
}

void caller_connection::unwatch()
{
    on_close_ = nullptr;
    ++watch_generation_;
    boost::system::error_code ec;
    stream.socket().cancel(ec);
}

void caller_connection::wait_for_close()
{
    stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), generation = watch_generation_](boost::system::error_code ec)
        {
            if (ec || generation != self->watch_generation_ || !self->on_close_)
            {
                return;
            }
            char byte = 0;
            auto n =
                ::recv(self->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n > 0)
            {
                // A pipelined request has arrived; its read detects a close that follows.
                return;
            }
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                self->wait_for_close();
                return;
            }
            self->closed = true;
            auto callback = std::move(self->on_close_);
            callback();
        });
}

task<bool> caller_connection::write(std::string_view bytes)
{
    auto [ec, n] = co_await asio::async_write(stream.socket(),
                                              asio::buffer(bytes.data(), bytes.size()), as_result);
    if (ec)
    {
        closed = true;
    }
    co_return !ec;
}

task<void> caller_connection::drain(milliseconds max_time)
{
    boost::system::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, 16384> dropped;
    stream.expires_after(max_time);
    while (!ec)
    {
        auto [read_ec, n] = co_await stream.async_read_some(asio::buffer(dropped), as_result);
        ec = read_ec;
    }
    closed = true;
}

void caller_connection::abort()
{
    boost::system::error_code ec;
    stream.socket().close(ec);
    closed = true;
}

} // namespace banyanshunt
