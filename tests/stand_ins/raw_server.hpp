#pragma once

/// \file
/// A TCP server that responds to requests with the exact bytes a test provides, so that the test
/// can break connections at any byte and count the requests received.

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

/// What the server does after it has read a request.
struct raw_response
{
    std::string bytes;
    /// Closes the connection after the bytes.
    bool close = false;
    /// Resets the connection after the bytes.
    bool reset = false;
    /// Sent again and again after the bytes, until the caller closes the connection.
    std::string endless = {};
    /// The pause between these.
    milliseconds pause{0};
    /// Sent once, this long after the bytes; requests that come meanwhile wait.
    std::string later = {};
    milliseconds later_after{0};
    /// Makes each part that is sent in place of `endless`; counts from 1.
    std::function<std::string(int n)> endless_part = {};
};

/// Serves from construction to destruction, with one thread per connection.
class raw_server
{
public:
    /// Receives the number of the connection and of the request on it, both from 1, and the
    /// request's text.
    using script =
        std::function<raw_response(int connection, int request, const std::string& text)>;

    explicit raw_server(script it);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    const std::string& address() const { return address_; }
    /// The number of requests read so far, on all connections.
    int requests() const { return requests_; }
    int connections() const { return connections_; }
    /// Refuses new connections and closes those that exist, as when its process ends. May be called
    /// by the script.
    void end();
    /// Closes the connections that exist, also those whose request is not answered yet.
    void reset_connections() { ++resets_; }
    /// Bytes of `endless` that were sent, on all connections.
    std::size_t endless_bytes() const { return endless_bytes_; }

private:
    void accept_all();
    void serve(int socket, int connection);

    script script_;
    std::string address_;
    int listener_;
    std::atomic<int> requests_ = 0;
    std::atomic<int> connections_ = 0;
    std::atomic<std::size_t> endless_bytes_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> resets_ = 0;
    std::once_flag ended_;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A complete HTTP response with this status and body.
std::string http_text(int status, const std::string& body, const std::string& more_fields = "");

} // namespace banyanshunt
