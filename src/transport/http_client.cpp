#include "transport/http_client.hpp"

#include <map>
#include <mutex>

#include <fmt/format.h>
#include <httplib.h>

#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

constexpr std::size_t idle_connections_kept = 16;

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
        request.headers.emplace("Content-Type", call.content_type);
    }
    return request;
}

} // namespace

struct http_client::pool
{
    std::mutex mutex;
    std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;

    std::unique_ptr<httplib::Client> take(const std::string& address)
    {
        {
            std::lock_guard lock(mutex);
            auto& kept = idle[address];
            if (!kept.empty())
            {
                auto client = std::move(kept.back());
                kept.pop_back();
                return client;
            }
        }
        auto client = std::make_unique<httplib::Client>("http://" + address);
        client->set_keep_alive(true);
        client->set_follow_location(false);
        client->set_tcp_nodelay(true);
        return client;
    }

    void give_back(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(mutex);
        auto& kept = idle[address];
        if (kept.size() < idle_connections_kept)
        {
            kept.push_back(std::move(client));
        }
    }
};

http_client::http_client() : pool_(std::make_unique<pool>()) {}
http_client::~http_client() = default;

namespace
{

verdict<http_answer> exchange(httplib::Client& client, const http_call& call,
                              httplib::Request request)
{
    client.set_connection_timeout(call.connect_timeout);
    client.set_read_timeout(call.silence);
    client.set_write_timeout(call.silence);
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(request, response, error))
    {
        return failure_of(error, call);
    }
    return http_answer{.status = response.status,
                       .content_type = response.get_header_value("Content-Type"),
                       .body = std::move(response.body)};
}

} // namespace

verdict<http_answer> http_client::send(const http_call& call)
{
    auto client = pool_->take(call.address);
    auto answer = exchange(*client, call, request_of(call));
    if (answer)
    {
        pool_->give_back(call.address, std::move(client));
    }
    return answer;
}

verdict<http_answer> http_client::stream(const http_call& call, const body_sink& sink)
{
    auto client = pool_->take(call.address);
    httplib::Request request = request_of(call);
    int status = 0;
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
            return sink(std::string_view(data, size));
        }
        refused.append(data, size);
        return true;
    };
    auto answer = exchange(*client, call, std::move(request));
    if (!answer)
    {
        return answer;
    }
    answer->body = std::move(refused);
    pool_->give_back(call.address, std::move(client));
    return answer;
}

} // namespace banyanshunt
