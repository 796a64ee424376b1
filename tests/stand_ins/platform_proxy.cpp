#include "stand_ins/platform_proxy.hpp"

#include <thread>

namespace banyanshunt
{

platform_proxy::platform_proxy(std::string platform)
    : platform_(std::move(platform)), server_({.address = "127.0.0.1:0", .threads = 256})
{
    for (const char* method : {"GET", "POST", "PUT"})
    {
        server_.handle(method, "/.*", [this](auto& it) { return forward_request(it); });
    }
    server_.start();
}

platform_proxy::~platform_proxy()
{
    server_.stop();
}

http_response platform_proxy::forward_request(const http_request& request)
{
    http_response lost{.headers = {}, .body = {}, .stream = {}, .abort_connection = true};
    if (cut_)
    {
        return lost;
    }
    auto response = http_.send({.address = platform_,
                                .method = request.method,
                                .path = request.target,
                                .headers = {},
                                .body = request.body});
    std::this_thread::sleep_for(delay_.load());
    // A response in transit at the time of the cut is lost too.
    if (!response || cut_)
    {
        return lost;
    }
    return {.status = response->status,
            .content_type = response->content_type,
            .headers = {},
            .body = response->body,
            .stream = {}};
}

} // namespace banyanshunt
