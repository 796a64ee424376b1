#include "transport/loop/event_loop.hpp"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/this_coro.hpp>

namespace banyanshunt
{

namespace
{

/// How long sent bytes may stay unacknowledged before a connection counts as dead. A silent peer
/// holds a request for this long at most; longer than the retransmissions of a lossy link.
constexpr unsigned unacknowledged_ms = 3000;

} // namespace

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

void set_socket_options(tcp::socket& socket)
{
    boost::system::error_code ec;
    // A connection that cannot be tuned works all the same, only slower or less watched.
    socket.set_option(tcp::no_delay(true), ec);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof unacknowledged_ms);
}

} // namespace banyanshunt
