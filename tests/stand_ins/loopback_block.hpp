#pragma once

/// \file
/// Loopback addresses that only one fixture of one process uses at a time, so that its hosts can
/// listen on ports known in advance while other tests run beside it.

#include <string>

namespace banyanshunt
{

/// The addresses 127.x.y.1 to 127.x.y.`last_host`, held until destruction.
///
/// Fixtures that need one address for each of their servers bind port 0 of 127.0.0.1 instead, and
/// keep the socket.
class loopback_block
{
public:
    static constexpr int last_host = 253;

    /// Takes the first block that is free; the search begins with one that follows from `seed`, by
    /// default the process id. Throws std::runtime_error if every block is held.
    loopback_block();
    explicit loopback_block(int seed);
    ~loopback_block();
    loopback_block(const loopback_block&) = delete;
    loopback_block& operator=(const loopback_block&) = delete;

    /// Address `n` of the block, from 1.
    std::string address(int n) const;

private:
    /// Bound to the block's last address; the kernel lets go of it when the process ends.
    int lock_ = -1;
    int block_ = 0;
};

} // namespace banyanshunt
