#pragma once

/// \file
/// An entry host as a process of its own, with lowered limits, and callers on raw sockets that send
/// what its tests want to send.

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "stand_ins/loopback_block.hpp"
#include "stand_ins/prepared_platform.hpp"

namespace banyanshunt
{

/// The limits of the host and of its configuration in these tests. A process has 8 to 16 MB after
/// its start; what is left holds the requests of ordinary callers.
struct bounded_host_limits
{
    int memory_mb = 48;
    int max_descriptors = 400;
    int header_bytes = 8192;
    int body_bytes = 1 << 20;
    int idle_timeout_ms = 4000;
};

/// Bytes sent and received on one connection of a caller.
class raw_caller
{
public:
    /// Connects to an address "IP" and port; not open if that fails.
    raw_caller(const std::string& ip, int port);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    bool is_open() const { return fd_ >= 0; }
    /// Sends bytes until all are sent, the peer closes the connection, or it does not read them for
    /// a second. Returns whether all were sent.
    bool send(const std::string& bytes) const;
    /// What arrives until the peer closes the connection or sends nothing for a second.
    std::string receive() const;

private:
    int fd_ = -1;
};

class bounded_host
{
public:
    explicit bounded_host(const bounded_host_limits& limits = {});
    ~bounded_host();
    bounded_host(const bounded_host&) = delete;
    bounded_host& operator=(const bounded_host&) = delete;

    /// Whether it became ready.
    bool started() const { return started_; }
    bool lives();
    /// The largest memory of the process so far, in MB.
    double peak_memory_mb() const;
    std::size_t descriptors() const;
    /// Publishes a configuration with another limit on bodies.
    void configure(int body_bytes);
    /// Closes the reader of its standard output.
    void close_log();
    std::unique_ptr<raw_caller> connect() const;
    /// Whether a request as ordinary callers send them gets its answer. One that is refused as not
    /// run comes again, as its caller would.
    bool answers_a_request();
    /// The status of the answer to this request on a new connection; 0 if there was none.
    int status_of(const std::string& request) const;

    const bounded_host_limits limits;
    store_stand_in store;
    backend_stand_in desk{"d1", {}};

private:
    bool ready() const;

    loopback_block addresses_;
    std::string folder_;
    std::string ip_;
    pid_t pid_ = 0;
    int log_ = -1;
    std::atomic<bool> log_closing_ = false;
    std::thread log_reader_;
    bool started_ = false;
    int version_ = 0;
    int requests_ = 0;
};

} // namespace banyanshunt
