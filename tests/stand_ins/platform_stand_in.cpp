#include "stand_ins/platform_stand_in.hpp"

#include <thread>

#include <nlohmann/json.hpp>

#include "protocol/platform_codec.hpp"
#include "state/clock.hpp"
#include "state/errors.hpp"
#include "transport/http_server.hpp"

namespace banyanshunt
{
namespace
{

http_response status_only(int status)
{
    return {.status = status, .headers = {}, .body = {}, .stream = {}};
}

http_response json_body(std::string body)
{
    return {.headers = {}, .body = std::move(body), .stream = {}};
}

int status_of_log(const failure& why)
{
    if (why.code == errc::records_expired)
    {
        return 410;
    }
    // As with a cut connection, the client cannot tell from a 500 whether the call took effect.
    return why.run == run_state::not_run ? 503 : 500;
}

stream_name stream_of(const std::string& path)
{
    constexpr std::size_t prefix = std::string_view("/streams/").size();
    return stream_name(path.substr(prefix, path.rfind('/') - prefix));
}

} // namespace

struct platform_stand_in::impl
{
    explicit impl(const platform_stand_in_options& given)
        : options(given), server({.address = given.address, .threads = 256})
    {
    }

    http_response append(const http_request& request)
    {
        auto batch = decode_append_request(request.body);
        if (!batch)
        {
            return status_only(400);
        }
        auto first = log.append(stream_of(request.path), *batch);
        return first ? json_body(encode_append_response(*first))
                     : status_only(status_of_log(first.error()));
    }

    http_response read(const http_request& request)
    {
        log_offset from(std::stoll(request.parameter("from", "0")));
        auto limit = static_cast<std::size_t>(std::stoul(request.parameter("limit", "100")));
        milliseconds wait(std::stoll(request.parameter("wait_ms", "0")));
        auto page = log.read(stream_of(request.path), from, limit, wait);
        return page ? json_body(encode_page(*page)) : status_only(status_of_log(page.error()));
    }

    http_response replace_hosts(const http_request& request)
    {
        auto list = decode_hosts(request.body);
        if (!list)
        {
            return status_only(400);
        }
        std::lock_guard lock(mutex);
        hosts = *list;
        return json_body("{}");
    }

    // Waits for the store's rate limit, then for the fetch time given the other fetches in transit.
    http_response fetch(const http_request& request)
    {
        bool adapter = request.parameter("kind", "model") == "adapter";
        if (!adapter)
        {
            std::this_thread::sleep_until(next_load_slot());
        }
        int& in_transit = adapter ? adapters_in_transit : loads_in_transit;
        int full_speed =
            adapter ? options.limits.full_speed_adapters : options.limits.full_speed_loads;
        milliseconds base = adapter ? options.adapter_time : options.load_time;
        milliseconds duration = base;
        {
            std::lock_guard lock(mutex);
            ++in_transit;
            duration = std::max(base, base * in_transit / full_speed);
        }
        std::this_thread::sleep_for(duration);
        std::lock_guard lock(mutex);
        --in_transit;
        return json_body("{}");
    }

    std::chrono::steady_clock::time_point next_load_slot()
    {
        std::lock_guard lock(mutex);
        auto now = std::chrono::steady_clock::now();
        next_load = std::max(next_load, now);
        auto slot = next_load;
        next_load += std::chrono::milliseconds(1'000'000 / options.limits.milliloads_per_second);
        return slot;
    }

    http_response set_faults(const http_request& request)
    {
        auto error = log.faults().set_text(request.body);
        return error ? status_only(400) : json_body("{}");
    }

    void add_handlers()
    {
        server.handle("POST", "/streams/[^/]+/records", [this](auto& it) { return append(it); });
        server.handle("GET", "/streams/[^/]+/records", [this](auto& it) { return read(it); });
        server.handle("GET", "/hosts",
                      [this](auto&)
                      {
                          std::lock_guard lock(mutex);
                          return json_body(encode_hosts(hosts));
                      });
        server.handle("PUT", "/hosts", [this](auto& it) { return replace_hosts(it); });
        server.handle("GET", "/limits",
                      [this](auto&) { return json_body(encode_limits(options.limits)); });
        server.handle("POST", "/fetches", [this](auto& it) { return fetch(it); });
        server.handle("POST", "/control/faults", [this](auto& it) { return set_faults(it); });
        server.handle("POST", "/control/down",
                      [this](auto&)
                      {
                          log.set_down(true);
                          return json_body("{}");
                      });
        server.handle("POST", "/control/up",
                      [this](auto&)
                      {
                          log.set_down(false);
                          return json_body("{}");
                      });
    }

    platform_stand_in_options options;
    memory_log log;
    std::mutex mutex;
    std::vector<listed_host> hosts;
    int loads_in_transit = 0;
    int adapters_in_transit = 0;
    std::chrono::steady_clock::time_point next_load;
    http_server server;
};

platform_stand_in::platform_stand_in(const platform_stand_in_options& options)
    : impl_(std::make_unique<impl>(options))
{
    impl_->add_handlers();
    impl_->server.start();
}

platform_stand_in::~platform_stand_in()
{
    impl_->log.set_down(true);
    impl_->server.stop();
}

const std::string& platform_stand_in::address() const
{
    return impl_->server.address();
}

memory_log& platform_stand_in::log()
{
    return impl_->log;
}

} // namespace banyanshunt
