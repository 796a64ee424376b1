#pragma once

/// \file
/// A TCP proxy between two processes on loopback. A test can delay, reset or blackhole its
/// connections, or drop the data of one direction.

#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace banyanshunt
{

class loopback_proxy
{
public:
    enum class fault
    {
        none,
        /// Data is delayed by `delay` in both directions.
        delay,
        /// Drops all data from callers; new connections are accepted.
        drop_requests,
        /// Drops all data of the responses.
        drop_responses,
    };
    static constexpr std::chrono::milliseconds delay{400};

    /// Forwards connections to `ip`, on a free port, to a port of 127.0.0.1.
    loopback_proxy(const std::string& ip, int target_port);
    ~loopback_proxy();

    std::string address() const { return address_; }
    void set_fault(fault now) { fault_ = now; }
    /// Resets every open connection.
    void reset_all();
    /// Forwards requests that begin with `prefix` this much later, also if their caller has closed
    /// the connection by then.
    void hold_requests(const std::string& prefix, std::chrono::milliseconds length);
    /// Stands still, as by `freeze`, as soon as it has read the next request that begins with
    /// `prefix`, and forwards it afterwards.
    void freeze_at(const std::string& prefix, std::chrono::milliseconds length);
    /// Whether it has stood still since the last call of `freeze_at`.
    bool has_frozen() const { return frozen_; }
    /// Stands still: what arrives stays in the kernel's buffers until this time is over.
    void freeze(std::chrono::milliseconds length);
    /// Stops forwarding on open connections without closing them; new ones work.
    void blackhole_all();

private:
    struct link;
    using tcp = boost::asio::ip::tcp;

    void accept();
    void begin(const std::shared_ptr<link>& connection);
    void pump(const std::shared_ptr<link>& connection, bool to_server);

    boost::asio::io_context loop_{1};
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::string address_;
    std::atomic<fault> fault_ = fault::none;
    std::string freezing_prefix_;
    std::chrono::milliseconds freeze_length_{0};
    std::atomic<bool> frozen_ = false;
    std::string held_prefix_;
    std::chrono::milliseconds hold_length_{0};
    std::list<std::weak_ptr<link>> links_;
    std::thread thread_;
};

} // namespace banyanshunt
