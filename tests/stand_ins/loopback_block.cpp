#include "stand_ins/loopback_block.hpp"

#include <stdexcept>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace banyanshunt
{
namespace
{

/// Blocks are 127.64.0.0/24 up to 127.127.255.0/24, apart from those of the soak.
constexpr int first_octet = 64;
constexpr int block_count = 64 * 256;
constexpr int lock_host = 254;
/// Below the ports that the kernel hands out.
constexpr std::uint16_t lock_port = 17599;

std::string address_in(int block, int n)
{
    return fmt::format("127.{}.{}.{}", first_octet + block / 256, block % 256, n);
}

/// Returns whether the socket could be bound.
bool bind_lock(int socket, int block)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(lock_port);
    inet_pton(AF_INET, address_in(block, lock_host).c_str(), &at.sin_addr);
    return bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
}

} // namespace

loopback_block::loopback_block() : loopback_block(getpid()) {}

loopback_block::loopback_block(int seed) : lock_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
{
    int first = seed % block_count;
    for (int n = 0; n < block_count; ++n)
    {
        block_ = (first + n) % block_count;
        if (bind_lock(lock_, block_))
        {
            return;
        }
    }
    close(lock_);
    throw std::runtime_error("no loopback block is free");
}

loopback_block::~loopback_block()
{
    close(lock_);
}

std::string loopback_block::address(int n) const
{
    return address_in(block_, n);
}

} // namespace banyanshunt
