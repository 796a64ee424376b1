#include "transport/loop/event_loop.hpp"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace banyanshunt
{

task<void> pause(nanoseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(length);
    co_await timer.async_wait(as_result);
}

tcp::endpoint to_endpoint(const endpoint_text& text)
{
    const std::string& it = text.str();
    auto colon = it.rfind(':');
    if (colon == std::string::npos)
    {
        return {};
    }
    unsigned short port = 0;
    std::from_chars(it.data() + colon + 1, it.data() + it.size(), port);
    boost::system::error_code ec;
    auto address = asio::ip::make_address_v4(it.substr(0, colon), ec);
    return ec ? tcp::endpoint() : tcp::endpoint(address, port);
}

bool is_quiet(tcp::socket& socket)
{
    char byte = 0;
    auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

task<bool> refuses_connections(endpoint_text address, milliseconds timeout)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    auto [ec] = co_await stream.async_connect(to_endpoint(address), as_result);
    co_return ec == asio::error::connection_refused;
}

void set_socket_options(tcp::socket& socket, milliseconds unacknowledged)
{
    boost::system::error_code ec;
    // Errors are ignored: without these options a connection still works, only with more delay or
    // slower detection of a dead peer.
    socket.set_option(tcp::no_delay(true), ec);
    auto limit_ms = static_cast<unsigned>(unacknowledged.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

} // namespace banyanshunt
