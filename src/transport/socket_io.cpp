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

bool wait_for(int socket, short event, milliseconds patience)
{
    instant limit = boot_clock().now() + patience;
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

socket_endpoint end_of(const sockaddr_in& from)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    return {.ip = text.data(), .port = ntohs(from.sin_port)};
}

} // namespace

bool wait_readable(int socket, milliseconds patience)
{
    return wait_for(socket, POLLIN, patience);
}

bool wait_writable(int socket, milliseconds patience)
{
    return wait_for(socket, POLLOUT, patience);
}

long read_some(int socket, char* to, std::size_t size, milliseconds patience)
{
    if (!wait_readable(socket, patience))
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

long write_some(int socket, std::string_view text, milliseconds patience)
{
    if (!wait_writable(socket, patience))
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

bool write_all(int socket, std::string_view text, milliseconds patience)
{
    while (!text.empty())
    {
        long n = write_some(socket, text, patience);
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
    bool nothing_yet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return n <= 0 && !nothing_yet;
}

void graceful_close(int socket, milliseconds patience)
{
    constexpr std::size_t piece = 4096;
    std::array<char, piece> buf{};
    shutdown(socket, SHUT_WR);
    instant limit = boot_clock().now() + patience;
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
    return end_of(from);
}

socket_endpoint local_endpoint(int socket)
{
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    getsockname(socket, reinterpret_cast<sockaddr*>(&from), &size);
    return end_of(from);
}

} // namespace banyanshunt
