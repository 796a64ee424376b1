#include "transport/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

#include "transport/socket_io.hpp"
#include "transport/worker_pool.hpp"

namespace banyanshunt
{
namespace
{

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

constexpr milliseconds io_timeout(10000);
constexpr milliseconds idle_poll_interval(50);
constexpr milliseconds refusal_timeout(20);

// The connection that this thread serves, and whether a worker was available for it.
thread_local int served_socket = -1;
thread_local bool has_worker = true;

// The stream from which the library reads requests and to which it writes responses.
class socket_stream final : public httplib::Stream
{
public:
    explicit socket_stream(int socket) : socket_(socket) {}

    bool is_readable() const override { return wait_readable(socket_, io_timeout); }
    bool is_writable() const override { return !peer_closed(socket_); }
    ssize_t read(char* to, std::size_t size) override
    {
        if (at_ == filled_)
        {
            long n = read_some(socket_, buf_.data(), buf_.size(), io_timeout);
            if (n <= 0)
            {
                return n;
            }
            at_ = 0;
            filled_ = static_cast<std::size_t>(n);
        }
        std::size_t n = std::min(size, filled_ - at_);
        std::copy_n(buf_.data() + at_, n, to);
        at_ += n;
        return static_cast<ssize_t>(n);
    }
    ssize_t write(const char* from, std::size_t size) override
    {
        return write_some(socket_, std::string_view(from, size), io_timeout);
    }
    void get_remote_ip_and_port(std::string& ip, int& port) const override
    {
        auto end = remote_endpoint(socket_);
        ip = end.ip;
        port = end.port;
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override
    {
        auto end = local_endpoint(socket_);
        ip = end.ip;
        port = end.port;
    }
    socket_t socket() const override { return socket_; }

    // Whether bytes of a next request were read along with the last one.
    bool has_more() const { return at_ < filled_; }

private:
    static constexpr std::size_t buffer_size = 4096;

    int socket_;
    std::array<char, buffer_size> buf_{};
    std::size_t at_ = 0;
    std::size_t filled_ = 0;
};

// Passes the library's jobs, one for each connection, to the bounded pool.
class pool_queue final : public httplib::TaskQueue
{
public:
    explicit pool_queue(worker_pool& pool) : pool_(pool) {}

    void enqueue(std::function<void()> serve) override
    {
        auto with_worker = [serve](bool found_worker)
        {
            has_worker = found_worker;
            serve();
        };
        if (!pool_.submit(with_worker))
        {
            with_worker(false);
        }
    }

    void shutdown() override { pool_.stop(); }

private:
    worker_pool& pool_;
};

// The library's server with its loop over the requests of one connection replaced.
class connection_server final : public httplib::Server
{
public:
    explicit connection_server(const http_server_options& options)
        : options_(options),
          pool_({.threads = options.threads, .queue_timeout = options.queue_timeout})
    {
        new_task_queue = [this] { return new pool_queue(pool_); };
    }

    std::atomic<bool> draining = false;

private:
    bool process_and_close_socket(socket_t socket) override
    {
        if (!has_worker)
        {
            refuse(socket);
            return false;
        }
        served_socket = socket;
        socket_stream stream(socket);
        bool good = true;
        bool closed = false;
        while (good && !closed && wait_for_request(stream))
        {
            good = process_request(stream, draining || stopping(), closed, nullptr);
            closed = closed || draining;
        }
        served_socket = -1;
        graceful_close(socket, milliseconds(0));
        return good;
    }

    bool stopping() const { return svr_sock_ == INVALID_SOCKET; }

    // A request received before a stop is still answered. An idle connection is closed when another
    // one waits for a thread.
    bool wait_for_request(const socket_stream& stream) const
    {
        instant limit = boot_clock().now() + options_.idle_timeout;
        while (!stream.has_more())
        {
            bool last_poll = stopping() || pool_.saturated() || boot_clock().now() >= limit;
            if (wait_readable(stream.socket(), last_poll ? milliseconds(0) : idle_poll_interval))
            {
                return !peer_closed(stream.socket());
            }
            if (last_poll)
            {
                return false;
            }
        }
        return true;
    }

    void refuse(int socket) const
    {
        write_all(socket,
                  fmt::format("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                              "Retry-After: 1\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
                              options_.overload_content_type, options_.overload_body.size(),
                              options_.overload_body),
                  refusal_timeout);
        graceful_close(socket, refusal_timeout);
    }

    http_server_options options_;
    worker_pool pool_;
};

http_request request_of(const httplib::Request& from)
{
    http_request request{.method = from.method,
                         .path = from.path,
                         .target = from.target,
                         .query = {},
                         .headers = {},
                         .body = from.body,
                         .caller_disconnected = [socket = served_socket]
                         { return peer_closed(socket); }};
    for (const auto& [name, value] : from.params)
    {
        request.query.emplace(name, value);
    }
    for (const auto& [name, value] : from.headers)
    {
        request.headers.emplace(lower_case(name), value);
    }
    return request;
}

void fill(httplib::Response& response, const http_response& reply)
{
    response.status = reply.status;
    for (const auto& field : reply.headers)
    {
        response.set_header(field.name, field.value);
    }
    if (reply.abort_connection)
    {
        response.set_content_provider(1, reply.content_type,
                                      [](std::size_t, std::size_t, httplib::DataSink&)
                                      { return false; });
        return;
    }
    if (!reply.stream)
    {
        response.set_content(reply.body, reply.content_type);
        return;
    }
    response.set_chunked_content_provider(
        reply.content_type,
        [stream = reply.stream](std::size_t, httplib::DataSink& sink)
        {
            stream([&sink](std::string_view chunk)
                   { return sink.write(chunk.data(), chunk.size()); });
            sink.done();
            return true;
        });
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::string http_request::parameter(const std::string& name, const std::string& otherwise) const
{
    auto it = query.find(name);
    return it == query.end() ? otherwise : it->second;
}

namespace
{

// Sets only SO_REUSEADDR, for a restart. The library's default options let two processes listen on
// one port, where each would get some of the other's callers.
int prepare_socket(int socket)
{
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return socket;
}

// The library listens with a backlog of five connections. In a burst of new connections that
// overflows, and callers wait a second for the retransmission of their SYN.
void widen_backlog(int socket)
{
    constexpr int backlog = 1024;
    if (socket >= 0)
    {
        listen(socket, backlog);
    }
}

} // namespace

struct http_server::impl
{
    explicit impl(const http_server_options& options) : server(options) {}

    connection_server server;
    std::thread listener;
    /// The listening socket, or -1.
    int socket = -1;
};

http_server::http_server(const http_server_options& options)
    : impl_(std::make_unique<impl>(options))
{
    auto& server = impl_->server;
    server.set_payload_max_length(options.max_body_size);
    server.set_socket_options([&it = *impl_](int fd) { it.socket = prepare_socket(fd); });
    server.set_tcp_nodelay(true);
    auto colon = options.address.rfind(':');
    std::string ip = options.address.substr(0, colon);
    int port = std::stoi(options.address.substr(colon + 1));
    bool bound = true;
    if (port == 0)
    {
        port = server.bind_to_any_port(ip);
        bound = port > 0;
    }
    else
    {
        bound = server.bind_to_port(ip, port);
    }
    widen_backlog(impl_->socket);
    address_ = bound ? ip + ":" + std::to_string(port) : "";
}

http_server::~http_server()
{
    stop();
}

void http_server::handle(const std::string& method, const std::string& pattern,
                         http_handler handler)
{
    auto wrapped =
        [handler = std::move(handler)](const httplib::Request& from, httplib::Response& to)
    { fill(to, handler(request_of(from))); };
    if (method == "GET")
    {
        impl_->server.Get(pattern, wrapped);
    }
    else if (method == "POST")
    {
        impl_->server.Post(pattern, wrapped);
    }
    else if (method == "PUT")
    {
        impl_->server.Put(pattern, wrapped);
    }
    else if (method == "DELETE")
    {
        impl_->server.Delete(pattern, wrapped);
    }
}

void http_server::start()
{
    impl_->listener = std::thread([this] { impl_->server.listen_after_bind(); });
    while (!impl_->server.is_running())
    {
        std::this_thread::yield();
    }
}

void http_server::drain()
{
    impl_->server.draining = true;
}

void http_server::stop()
{
    if (impl_->listener.joinable())
    {
        impl_->server.stop();
        impl_->listener.join();
    }
}

} // namespace banyanshunt
