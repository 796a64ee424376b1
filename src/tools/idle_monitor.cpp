#include "tools/idle_monitor.hpp"

#include <algorithm>

#include "state/clock.hpp"
#include "state/periodic_thread.hpp"
#include "transport/backend_clients.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds poll_interval(1000);

bool holds_ready_replica(const engine_report& report)
{
    return std::any_of(report.replicas.begin(), report.replicas.end(),
                       [](const auto& held) { return held.phase == replica_phase::ready; });
}

} // namespace

struct idle_monitor::impl
{
    impl(std::vector<std::string> engine_addresses, std::int64_t accelerators)
        : engines(std::move(engine_addresses)), accelerators_per_engine(accelerators),
          last(boot_clock().now())
    {
    }

    bool is_idle(const std::string& address)
    {
        auto load = client.fetch_load(address);
        auto report = client.read_back(address);
        if (!load || !report)
        {
            return false;
        }
        any_response = true;
        return load->running == 0 && holds_ready_replica(*report);
    }

    milliseconds step()
    {
        instant now = boot_clock().now();
        auto idle_engines = std::count_if(engines.begin(), engines.end(),
                                          [this](const auto& address) { return is_idle(address); });
        idle += (now - last) * idle_engines * accelerators_per_engine;
        last = now;
        return poll_interval;
    }

    std::vector<std::string> engines;
    std::int64_t accelerators_per_engine;
    http_client http;
    http_model_engine client{http};
    instant last;
    nanoseconds idle{0};
    bool any_response = false;
    std::unique_ptr<periodic_thread> poller;
};

idle_monitor::idle_monitor(std::vector<std::string> engines, std::int64_t accelerators_per_engine)
    : impl_(std::make_unique<impl>(std::move(engines), accelerators_per_engine))
{
    if (!impl_->engines.empty())
    {
        impl_->poller = std::make_unique<periodic_thread>([this] { return impl_->step(); });
    }
}

idle_monitor::~idle_monitor() = default;

std::optional<nanoseconds> idle_monitor::stop()
{
    if (impl_->poller)
    {
        impl_->poller->stop();
    }
    if (!impl_->any_response)
    {
        return std::nullopt;
    }
    return impl_->idle;
}

} // namespace banyanshunt
