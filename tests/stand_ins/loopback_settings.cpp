#include "stand_ins/loopback_settings.hpp"

namespace banyanshunt
{
namespace
{

const std::string free_port = "127.0.0.1:0";
/// Shorter than in production, to keep tests fast.
constexpr milliseconds test_interval(10);

platform_settings platform_of(const loopback_host& host)
{
    return {.log = host.platform, .hosts = host.platform, .weights = host.platform};
}

} // namespace

entry_settings loopback_entry(const loopback_host& host)
{
    entry_settings it;
    it.host = {.name = host.name, .domain = host.domain};
    it.platform = platform_of(host);
    it.listen = free_port;
    it.peer_listen = free_port;
    it.admin_listen = free_port;
    it.demand_interval = test_interval;
    return it;
}

placer_settings loopback_placer(const loopback_host& host)
{
    placer_settings it;
    it.host = {.name = host.name, .domain = host.domain};
    it.platform = platform_of(host);
    it.peer_listen = free_port;
    it.admin_listen = free_port;
    it.interval = test_interval;
    return it;
}

} // namespace banyanshunt
