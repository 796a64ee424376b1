#include "entry/entry_settings.hpp"

#include "transport/peer_credentials.hpp"

namespace banyanshunt
{

entry_settings read_entry_settings(settings_file& file)
{
    const entry_settings defaults;
    entry_settings it;
    it.host = read_host_settings(file);
    it.platform = read_platform_settings(file);
    it.peer_keys = read_peer_credentials(read_peer_settings(file), file);
    it.state = read_state_settings(file);
    it.listen = file.address("callers", "listen");
    it.peer_listen = file.address("peers", "listen");
    it.admin_listen = file.address("admin", "listen");
    constexpr std::int64_t max_hosts = 1000;
    constexpr std::int64_t max_requests = 100'000;
    constexpr std::int64_t max_threads = 4096;
    it.shares = read_share_settings(file);
    it.entry_hosts =
        static_cast<int>(file.integer("shares", "entry_hosts", 1, max_hosts, defaults.entry_hosts));
    it.max_waiting = static_cast<std::size_t>(file.integer(
        "limits", "waiting", 1, max_requests, static_cast<std::int64_t>(defaults.max_waiting)));
    it.threads = static_cast<std::size_t>(file.integer(
        "limits", "connections", 4, max_threads, static_cast<std::int64_t>(defaults.threads)));
    it.deadline = file.duration("limits", "deadline_ms", defaults.deadline);
    it.idle_timeout = file.duration("limits", "silence_ms", defaults.idle_timeout);
    it.service_timeout = file.duration("limits", "service_ms", defaults.service_timeout);
    it.demand_interval = file.duration("limits", "demand_interval_ms", defaults.demand_interval);
    it.drain_timeout = file.duration("limits", "drain_ms", defaults.drain_timeout);
    it.requests = read_request_settings(file);
    return it;
}

} // namespace banyanshunt
