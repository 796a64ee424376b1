#pragma once

/// \file
/// Defines a TCP relay that stands in for the network between two processes, so that a test can cut
/// it or let it lose track of its open connections.

#include <memory>
#include <string>

namespace banyanshunt
{

/// Relays from construction to destruction.
class fault_proxy
{
public:
    /// `target` is the IP address and port that connections are passed on to.
    explicit fault_proxy(const std::string& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// Where to connect in place of the target.
    const std::string& address() const;

    /// Closes every connection and each new one at once, until `heal`.
    void cut();
    /// Connections that are open now stay open and carry nothing from now on; new ones work.
    void blackhole();
    /// Lets new connections through again; silenced ones stay silent for good.
    void heal();

    /// Bytes passed on in both directions so far.
    long long bytes() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace banyanshunt
