#include "transport/socket_io.hpp"

#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "state/clock.hpp"

namespace banyanshunt
{
namespace
{

bool wait_for(int socket, short event, milliseconds timeout)
{
    instant limit = boot_clock().now() + timeout;
    while (true)
    {
        auto left = std::chrono::ceil<milliseconds>(limit - boot_clock().now());
        pollfd it{.fd = socket, .events = event, .revents = 0};
        int n = poll(&it, 1, static_cast<int>(std::max(left, milliseconds(0)).count()));
        if (n >= 0 || errno != EINTR)
        {
            return n > 0;
        }
    }
}

socket_endpoint endpoint_of(const sockaddr_in& from)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    return {.ip = text.data(), .port = ntohs(from.sin_port)};
}

} // namespace

bool wait_readable(int socket, milliseconds timeout)
{
    return wait_for(socket, POLLIN, timeout);
}

bool wait_writable(int socket, milliseconds timeout)
{
    return wait_for(socket, POLLOUT, timeout);
}

long read_some(int socket, char* to, std::size_t size, milliseconds timeout)
{
    if (!wait_readable(socket, timeout))
    {
        return -1;
    }
    long n = -1;
    do
    {
        n = recv(socket, to, size, 0);
    } while (n < 0 && errno == EINTR);
    return n;
}

long write_some(int socket, std::string_view text, milliseconds timeout)
{
    if (!wait_writable(socket, timeout))
    {
        return -1;
    }
    long n = -1;
    do
    {
        n = send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    } while (n < 0 && errno == EINTR);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? 0 : n;
}

bool write_all(int socket, std::string_view text, milliseconds timeout)
{
    while (!text.empty())
    {
        long n = write_some(socket, text, timeout);
        if (n < 0)
        {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool peer_closed(int socket)
{
    char c = 0;
    long n = recv(socket, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    bool would_block = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return n <= 0 && !would_block;
}

void graceful_close(int socket, milliseconds timeout)
{
    constexpr std::size_t buffer_size = 4096;
    std::array<char, buffer_size> buf{};
    shutdown(socket, SHUT_WR);
    instant limit = boot_clock().now() + timeout;
    while (boot_clock().now() < limit)
    {
        auto left = std::chrono::ceil<milliseconds>(limit - boot_clock().now());
        if (read_some(socket, buf.data(), buf.size(), left) <= 0)
        {
            break;
        }
    }
    close(socket);
}

socket_endpoint remote_endpoint(int socket)
{
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    getpeername(socket, reinterpret_cast<sockaddr*>(&from), &size);
    return endpoint_of(from);
}

socket_endpoint local_endpoint(int socket)
{
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    getsockname(socket, reinterpret_cast<sockaddr*>(&from), &size);
    return endpoint_of(from);
}

} // namespace banyanshunt
