#pragma once

/// \file
/// A TCP proxy between two processes on loopback. A test can delay, reset or blackhole its
/// connections, or drop the data of one direction.

#include <atomic>
#include <chrono>
#include <limits>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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
    /// Returns the fault before.
    fault set_fault(fault now) { return fault_.exchange(now); }
    /// Resets every open connection.
    void reset_all();
    /// Forwards requests that begin with `prefix` this much later, also if their caller has closed
    /// the connection by then; at most `max_requests` of them.
    void hold_requests(const std::string& prefix, std::chrono::milliseconds length,
                       int max_requests = std::numeric_limits<int>::max());
    /// When each held request went on.
    std::vector<std::chrono::steady_clock::time_point> hold_ends() const;
    /// Freezes, as by `freeze`, as soon as it has read the next request that begins with
    /// `prefix`, and forwards it afterwards.
    void freeze_at(const std::string& prefix, std::chrono::milliseconds length);
    /// Whether it has frozen since the last call of `freeze_at`.
    bool has_frozen() const { return frozen_; }
    /// Forwards and reads nothing for this time: what arrives stays in the kernel's buffers.
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
    int holds_left_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::chrono::steady_clock::time_point> hold_ends_;
    std::list<std::weak_ptr<link>> links_;
    std::thread thread_;
};

} // namespace banyanshunt
