#pragma once

/// \file
/// Stand-ins and helpers that the cases share: entry hosts as processes, a plain backend server
/// with one thread a connection, and a caller's connection. The platform's store is the project's
/// own stand-in. All addresses are loopback addresses.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "stand_ins/prepared_platform.hpp"

namespace review
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit statuses of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int not_run = 2;

/// Whether the case is to run with its disruption: not with TROUBLE=0.
bool with_trouble();

/// `record.txt` of the case: one line for each thing that was sent, answered or run.
class record
{
public:
    explicit record(const std::string& folder);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point begun_ = steady::now();
};

/// A loopback network of its own: 127.BLOCK.0.0/16. A listener in it keeps other runs out.
class address_block
{
public:
    address_block();
    ~address_block();
    address_block(const address_block&) = delete;
    address_block& operator=(const address_block&) = delete;
    std::string ip(int group, int n) const;

private:
    int block_ = 0;
    int listener_ = -1;
};

/// A temporary folder, removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    std::string path;
};

struct http_head
{
    /// The request line or status line.
    std::string first;
    /// Names in lowercase.
    std::map<std::string, std::string> fields;
    std::string field(const std::string& name) const;
};

/// A TCP connection that reads and writes HTTP/1.1 messages.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Null if it cannot be made.
    static std::unique_ptr<connection> open(const std::string& ip, int port,
                                            milliseconds timeout = milliseconds(1000));
    /// False if the peer closed it.
    bool write(const std::string& bytes);
    /// Reads a head; nothing if the connection ended or the time passed.
    std::optional<http_head> read_head(milliseconds timeout);
    /// Reads a body by its Content-Length or chunks; nothing if it did not come whole.
    std::optional<std::string> read_body(const http_head& head, milliseconds timeout);
    /// Reads one chunk of a body, empty at its end; nothing if none came whole in the time.
    std::optional<std::string> read_chunk(milliseconds timeout);
    /// Whether the peer has closed it, or sent what nobody asked for.
    bool closed_by_peer() const;
    void close();
    void shutdown();

private:
    bool fill(steady::time_point until);

    int fd_;
    std::string buffer_;
};

struct caller_answer
{
    /// 0 if the connection ended, or the time passed, without a whole answer.
    int status = 0;
    http_head head;
    std::string body;
    /// The connection ended before a whole answer.
    bool cut = false;
};

/// Sends a request on the connection and waits for the whole answer.
caller_answer ask(connection& it, const std::string& request, milliseconds timeout);

struct run_record
{
    std::string id;
    std::string server;
    std::size_t body_bytes = 0;
    steady::time_point at;
};

/// A plain backend server that follows the platform's pages: it checks X-Expect-Instance, echoes
/// X-Request-Id, and stamps what it ran.
class plain_server
{
public:
    /// Takes a free port, unless one is named.
    plain_server(std::string id, std::string ip, milliseconds run_time, record& to, int port = 0);
    ~plain_server();

    /// Its entry in the store. `born` is the Unix millisecond of its start, by its machine's clock.
    std::string entry(const std::string& service, const std::string& zone, int slots,
                      const std::string& state = "ready", std::int64_t sequence = 1,
                      std::int64_t born = 1) const;
    std::vector<run_record> runs() const;
    const std::string& id() const { return id_; }
    std::string address() const;
    int port() const { return port_; }
    /// Answers a request in the place of the usual answer, if it returns true. Set before the
    /// server is announced.
    std::function<bool(const http_head& head, connection& to)> custom;
    /// It has as many channels as it accepts, and resets new ones.
    std::atomic<bool> at_channel_limit = false;

private:
    void accept_all();
    void serve(const std::shared_ptr<connection>& it);

    std::string id_;
    std::string ip_;
    milliseconds run_time_;
    record& record_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> ending_ = false;
    mutable std::mutex mutex_;
    std::vector<run_record> runs_;
    std::vector<std::thread> threads_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::thread acceptor_;
};

/// An entry host, started as the deploy file says.
class entry_host
{
public:
    struct options
    {
        std::string name;
        std::string zone;
        std::string ip;
        std::string store_address;
        std::string folder;
    };

    explicit entry_host(options it);
    ~entry_host();
    void start();
    void signal(int number) const;
    /// Whether the process has ended; collects it.
    bool ended();
    bool ready() const;
    /// False if it is not ready in time, or has ended.
    bool await_ready(milliseconds timeout);
    /// Memory in use now, in MB; 0 if the process has ended.
    double memory_mb() const;
    const std::string& ip() const { return options_.ip; }
    int port() const { return front_port; }
    pid_t pid() const { return pid_; }
    const options& settings() const { return options_; }

    static constexpr int front_port = 8221;
    static constexpr int ready_port = 8224;

private:
    options options_;
    pid_t pid_ = 0;
};

nlohmann::json route(const std::string& host, const std::string& prefix, const std::string& kind,
                     const std::string& service, int timeout_ms, int max_attempts);
nlohmann::json plain_service(const std::string& name, int max_connections);
/// Limits of the manifest, with this longest body.
nlohmann::json limits(std::size_t max_body_bytes);
nlohmann::json tenant(const std::string& name, const std::string& key);

} // namespace review
