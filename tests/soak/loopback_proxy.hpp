#pragma once

/// \file
/// A proxy between two processes on loopback whose connections can be delayed, reset, cut one way
/// or silenced from outside.

#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace banyanshunt::soak
{

class loopback_proxy
{
public:
    enum class fault
    {
        none,
        /// Bytes come `delay` late, both ways.
        delay,
        /// Nothing of what callers send arrives; new connections are taken.
        drop_requests,
        /// Nothing of the answers arrives.
        drop_responses,
    };
    static constexpr std::chrono::milliseconds delay{400};

    /// Passes on what comes to `ip`, any port, to a port of 127.0.0.1.
    loopback_proxy(const std::string& ip, int target_port);
    ~loopback_proxy();

    std::string address() const { return address_; }
    void set_fault(fault now) { fault_ = now; }
    /// Resets every open connection.
    void reset_all();
    /// Open connections pass nothing on any more, without an end; new ones work.
    void blackhole_all();

private:
    struct link;
    using tcp = boost::asio::ip::tcp;

    void accept();
    void pump(const std::shared_ptr<link>& on, bool forth);

    boost::asio::io_context loop_{1};
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::string address_;
    std::atomic<fault> fault_ = fault::none;
    std::list<std::weak_ptr<link>> links_;
    std::thread thread_;
};

} // namespace banyanshunt::soak
