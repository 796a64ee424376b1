#include "stand_ins/platform_proxy.hpp"

#include <thread>

namespace banyanshunt
{

platform_proxy::platform_proxy(std::string platform)
    : platform_(std::move(platform)), server_({.address = "127.0.0.1:0", .threads = 256})
{
    for (const char* method : {"GET", "POST", "PUT"})
    {
        server_.handle(method, "/.*", [this](auto& it) { return pass_on(it); });
    }
    server_.start();
}

platform_proxy::~platform_proxy()
{
    server_.stop();
}

http_response platform_proxy::pass_on(const http_request& request)
{
    http_response lost{.headers = {}, .body = {}, .stream = {}, .abort_connection = true};
    if (cut_)
    {
        return lost;
    }
    auto answer = http_.send({.address = platform_,
                              .method = request.method,
                              .path = request.target,
                              .headers = {},
                              .body = request.body});
    std::this_thread::sleep_for(delay_.load());
    // An answer that was under way when the cut came is lost too.
    if (!answer || cut_)
    {
        return lost;
    }
    return {.status = answer->status,
            .content_type = answer->content_type,
            .headers = {},
            .body = answer->body,
            .stream = {}};
}

} // namespace banyanshunt
