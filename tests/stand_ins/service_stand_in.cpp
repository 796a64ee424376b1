#include "stand_ins/service_stand_in.hpp"

#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "transport/http_server.hpp"

namespace banyanshunt
{
namespace
{

http_response json_response(int status, std::string body)
{
    return {.status = status, .headers = {}, .body = std::move(body), .stream = {}};
}

} // namespace

struct service_stand_in::impl
{
    explicit impl(const service_stand_in_options& options)
        : server({.address = options.address, .threads = 64})
    {
    }

    http_response call(const http_request& request)
    {
        auto fault = faults.next("call");
        if (fault && fault->kind == fault_kind::refuse)
        {
            return json_response(503, "{}");
        }
        int n = run(request);
        if (fault && (fault->kind == fault_kind::delayed || fault->kind == fault_kind::hang))
        {
            std::this_thread::sleep_for(fault->delay);
        }
        if (fault && fault->kind == fault_kind::lose_response)
        {
            return {.headers = {}, .body = {}, .stream = {}, .abort_connection = true};
        }
        return json_response(200, fmt::format("{{\"runs\":{}}}", n));
    }

    int run(const http_request& request)
    {
        std::lock_guard lock(mutex);
        for (const auto& [name, value] : request.headers)
        {
            headers.push_back(name + ": " + value);
        }
        ++total;
        return ++runs[request.body];
    }

    std::mutex mutex;
    std::map<std::string, int> runs;
    std::vector<std::string> headers;
    int total = 0;
    fault_table faults;
    http_server server;
};

service_stand_in::service_stand_in(const service_stand_in_options& options)
    : impl_(std::make_unique<impl>(options))
{
    auto& it = *impl_;
    it.server.handle("GET", "/control/runs",
                     [&it](auto&)
                     {
                         std::lock_guard lock(it.mutex);
                         return json_response(200, fmt::format("{{\"runs\":{}}}", it.total));
                     });
    it.server.handle("POST", "/control/faults",
                     [&it](auto& request)
                     { return json_response(it.faults.set_text(request.body) ? 400 : 200, "{}"); });
    for (const char* method : {"GET", "POST", "PUT", "DELETE"})
    {
        it.server.handle(method, "/.*", [&it](auto& request) { return it.call(request); });
    }
    it.server.start();
}

service_stand_in::~service_stand_in()
{
    impl_->server.stop();
}

const std::string& service_stand_in::address() const
{
    return impl_->server.address();
}

fault_table& service_stand_in::faults()
{
    return impl_->faults;
}

int service_stand_in::runs_of(const std::string& body) const
{
    std::lock_guard lock(impl_->mutex);
    auto it = impl_->runs.find(body);
    return it == impl_->runs.end() ? 0 : it->second;
}

int service_stand_in::runs() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->total;
}

std::vector<std::string> service_stand_in::headers_seen() const
{
    std::lock_guard lock(impl_->mutex);
    return impl_->headers;
}

} // namespace banyanshunt
