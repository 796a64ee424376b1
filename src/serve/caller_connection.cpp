#include "serve/caller_connection.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>

namespace banyanshunt
{

void caller_connection::watch(std::function<void()> on_gone)
{
    on_gone_ = std::move(on_gone);
    ++watch_number_;
    look();
}

void caller_connection::unwatch()
{
    on_gone_ = nullptr;
    ++watch_number_;
    boost::system::error_code ec;
    stream.socket().cancel(ec);
}

void caller_connection::look()
{
    stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number = watch_number_](boost::system::error_code ec)
        {
            if (ec || number != self->watch_number_ || !self->on_gone_)
            {
                return;
            }
            char byte = 0;
            auto n =
                ::recv(self->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n > 0)
            {
                // The next request is here early; its reader will see a close after it.
                return;
            }
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                self->look();
                return;
            }
            self->closed = true;
            auto leave = std::move(self->on_gone_);
            leave();
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

void caller_connection::abort()
{
    boost::system::error_code ec;
    stream.socket().close(ec);
    closed = true;
}

} // namespace banyanshunt
