#include "placer/placer_settings.hpp"

#include "transport/peer_credentials.hpp"

namespace banyanshunt
{

placer_settings read_placer_settings(settings_file& file)
{
    const placer_settings defaults;
    placer_settings it;
    it.host = read_host_settings(file);
    it.platform = read_platform_settings(file);
    it.peer_keys = read_peer_credentials(read_peer_settings(file), file);
    it.peer_listen = file.address("peers", "listen");
    it.admin_listen = file.address("admin", "listen");
    it.lease_duration = file.duration("placement", "lease_ms", defaults.lease_duration);
    it.max_order_delay = file.duration("placement", "longest_order_ms", defaults.max_order_delay);
    it.refresh_after = file.duration("placement", "refresh_ms", defaults.refresh_after);
    it.retire_grace = file.duration("placement", "retire_grace_ms", defaults.retire_grace);
    it.interval = file.duration("placement", "interval_ms", defaults.interval);
    return it;
}

} // namespace banyanshunt
