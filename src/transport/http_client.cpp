#include "transport/http_client.hpp"

#include <map>
#include <mutex>

#include <fmt/format.h>
#include <httplib.h>

#include "state/clock.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t max_idle_connections = 64;
constexpr milliseconds max_idle_time(2000);

// Without a connection nothing was sent; after any other error the server may have read the
// complete request.
failure failure_of(httplib::Error error, const http_call& call)
{
    bool unsent = error == httplib::Error::Connection ||
                  error == httplib::Error::ConnectionTimeout ||
                  error == httplib::Error::BindIPAddress;
    return {.run = unsent ? run_state::not_run : run_state::may_have_run,
            .code = unsent ? errc::unreachable : errc::timeout,
            .detail = fmt::format("{} {} at {}: {}", call.method, call.path, call.address,
                                  httplib::to_string(error)),
            .retry_after = {}};
}

httplib::Request request_of(const http_call& call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    for (const auto& field : call.headers)
    {
        request.headers.emplace(field.name, field.value);
    }
    if (!call.body.empty())
    {
        request.body = call.body;
        if (request.headers.count("Content-Type") == 0)
        {
            request.headers.emplace("Content-Type", call.content_type);
        }
    }
    return request;
}

} // namespace

struct http_client::pool
{
    struct idle_connection
    {
        std::unique_ptr<httplib::Client> client;
        instant since;
    };

    std::mutex mutex;
    std::map<std::string, std::vector<idle_connection>> idle;

    std::unique_ptr<httplib::Client> acquire(const http_call& call)
    {
        if (call.keeps_connection)
        {
            std::lock_guard lock(mutex);
            auto& kept = idle[call.address];
            if (!kept.empty() && boot_clock().now() - kept.back().since < max_idle_time)
            {
                auto client = std::move(kept.back().client);
                kept.pop_back();
                return client;
            }
            kept.clear();
        }
        auto client = std::make_unique<httplib::Client>("http://" + call.address);
        client->set_keep_alive(call.keeps_connection);
        client->set_follow_location(false);
        client->set_tcp_nodelay(true);
        return client;
    }

    void release(const http_call& call, std::unique_ptr<httplib::Client> client)
    {
        if (!call.keeps_connection)
        {
            return;
        }
        std::lock_guard lock(mutex);
        auto& kept = idle[call.address];
        if (kept.size() < max_idle_connections)
        {
            kept.push_back({.client = std::move(client), .since = boot_clock().now()});
        }
    }

    void close_idle(const std::string& address)
    {
        std::lock_guard lock(mutex);
        idle.erase(address);
    }
};

http_client::http_client() : pool_(std::make_unique<pool>()) {}
http_client::~http_client() = default;

namespace
{

verdict<http_call_response> exchange(httplib::Client& client, const http_call& call,
                                     httplib::Request request)
{
    client.set_connection_timeout(call.connect_timeout);
    client.set_read_timeout(call.read_timeout);
    client.set_write_timeout(call.read_timeout);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(request, response, error))
    {
        return failure_of(error, call);
    }
    http_call_response result{.status = response.status,
                              .content_type = response.get_header_value("Content-Type"),
                              .body = std::move(response.body)};
    for (const auto& [name, value] : response.headers)
    {
        result.headers.push_back({.name = name, .value = value});
    }
    return result;
}

} // namespace

verdict<http_call_response> http_client::send(const http_call& call)
{
    auto client = pool_->acquire(call);
    auto result = exchange(*client, call, request_of(call));
    if (!result)
    {
        pool_->close_idle(call.address);
        return result;
    }
    pool_->release(call, std::move(client));
    return result;
}

verdict<http_call_response> http_client::stream(const http_call& call, const body_sink& sink)
{
    auto client = pool_->acquire(call);
    httplib::Request request = request_of(call);
    int status = 0;
    bool stopped = false;
    std::string refused;
    request.response_handler = [&status](const httplib::Response& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        if (status == 200)
        {
            stopped = !sink(std::string_view(data, size));
            return !stopped;
        }
        refused.append(data, size);
        return true;
    };
    auto result = exchange(*client, call, std::move(request));
    if (!result)
    {
        if (!stopped)
        {
            pool_->close_idle(call.address);
        }
        return result;
    }
    result->body = std::move(refused);
    pool_->release(call, std::move(client));
    return result;
}

} // namespace banyanshunt
