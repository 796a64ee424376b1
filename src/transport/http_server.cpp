#include "transport/http_server.hpp"

#include <algorithm>
#include <thread>

#include <httplib.h>

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

http_request request_of(const httplib::Request& from)
{
    http_request request{.method = from.method,
                         .path = from.path,
                         .target = from.target,
                         .query = {},
                         .headers = {},
                         .body = from.body};
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

void fill(httplib::Response& response, const http_reply& reply)
{
    response.status = reply.status;
    for (const auto& field : reply.headers)
    {
        response.set_header(field.name, field.value);
    }
    if (reply.cut)
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
            stream([&sink](std::string_view piece)
                   { return sink.write(piece.data(), piece.size()); });
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

struct http_server::impl
{
    httplib::Server server;
    std::thread listener;
};

http_server::http_server(const http_server_options& options) : impl_(std::make_unique<impl>())
{
    auto& server = impl_->server;
    server.new_task_queue = [n = options.threads] { return new httplib::ThreadPool(n); };
    server.set_payload_max_length(options.largest_body);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_timeout(options.idle.count());
    constexpr std::size_t requests_on_a_connection = 1'000'000;
    server.set_keep_alive_max_count(requests_on_a_connection);
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

void http_server::stop()
{
    if (impl_->listener.joinable())
    {
        impl_->server.stop();
        impl_->listener.join();
    }
}

} // namespace banyanshunt
