#include "tools/idle_monitor.hpp"

#include <algorithm>

#include "state/clock.hpp"
#include "state/periodic_thread.hpp"
#include "transport/backend_clients.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds watch_interval(1000);

bool holds_ready_replica(const engine_report& report)
{
    return std::any_of(report.replicas.begin(), report.replicas.end(),
                       [](const auto& held) { return held.phase == replica_phase::ready; });
}

} // namespace

struct idle_monitor::impl
{
    impl(std::vector<std::string> watched, std::int64_t accelerators)
        : engines(std::move(watched)), accelerators_per_engine(accelerators),
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
        heard = true;
        return load->running == 0 && holds_ready_replica(*report);
    }

    milliseconds step()
    {
        instant now = boot_clock().now();
        auto idle_engines = std::count_if(engines.begin(), engines.end(),
                                          [this](const auto& address) { return is_idle(address); });
        idle += (now - last) * idle_engines * accelerators_per_engine;
        last = now;
        return watch_interval;
    }

    std::vector<std::string> engines;
    std::int64_t accelerators_per_engine;
    http_client http;
    http_model_engine client{http};
    instant last;
    nanoseconds idle{0};
    bool heard = false;
    std::unique_ptr<periodic_thread> duty;
};

idle_monitor::idle_monitor(std::vector<std::string> engines, std::int64_t accelerators_per_engine)
    : impl_(std::make_unique<impl>(std::move(engines), accelerators_per_engine))
{
    if (!impl_->engines.empty())
    {
        impl_->duty = std::make_unique<periodic_thread>([this] { return impl_->step(); });
    }
}

idle_monitor::~idle_monitor() = default;

std::optional<nanoseconds> idle_monitor::stop()
{
    if (impl_->duty)
    {
        impl_->duty->stop();
    }
    if (!impl_->heard)
    {
        return std::nullopt;
    }
    return impl_->idle;
}

} // namespace banyanshunt
