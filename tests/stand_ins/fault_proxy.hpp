#pragma once

/// \file
/// A TCP proxy that represents the network between two processes. A test can cut the link, or drop
/// the state of its open connections without closing them, as a firewall does.

#include <memory>
#include <string>

namespace banyanshunt
{

/// Relays from construction to destruction.
class fault_proxy
{
public:
    /// `target` is the IP address and port to which connections are forwarded.
    explicit fault_proxy(const std::string& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// The address to connect to in place of the target.
    const std::string& address() const;

    /// Closes every open connection, and each new one on accept, until `heal`.
    void cut();
    /// Leaves the connections open now open but forwards no more data on them; new ones work.
    void blackhole();
    /// Accepts new connections again; connections dropped by `blackhole` never recover.
    void heal();

    /// The number of bytes received for forwarding so far, in both directions.
    long long bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
