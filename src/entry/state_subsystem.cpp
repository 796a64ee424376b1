#include "entry/state_subsystem.hpp"

#include "protocol/admin_codec.hpp"

namespace banyanshunt
{

state_subsystem::state_subsystem(const entry_settings& settings, http_client& http,
                                 peer_channels& channels, metrics& counters,
                                 state_source::list_sink on_host_list)
    : source_({.host = settings.host,
               .platform = settings.platform,
               .peer_timeout = settings.state.peer_timeout,
               .seeds = settings.state.seeds},
              http, channels, counters, std::move(on_host_list)),
      log_(http, settings.platform.log, settings.platform.timeout),
      snapshots_(log_, source_.manager(), counters, settings.state.snapshots),
      service_([this](const heartbeat& it)
               { return source_.manager().handle_heartbeat(it, boot_clock().now()); })
{
}

void state_subsystem::add_admin_handlers(http_server& admin)
{
    admin.handle("GET", "/state",
                 [this](auto&)
                 {
                     instant now = boot_clock().now();
                     auto status = status_of(source_.manager().own_heartbeat(now), peers(), now);
                     return http_response{
                         .headers = {}, .body = encode_status(status), .stream = {}};
                 });
    admin.handle("GET", "/state/objects",
                 [this](auto&) {
                     return http_response{
                         .headers = {}, .body = encode_objects(*cell().get()), .stream = {}};
                 });
}

void state_subsystem::start(const std::string& peer_address, const std::string& admin_address)
{
    source_.manager().set_addresses(peer_address, admin_address);
    source_.start();
    snapshot_thread_ = std::make_unique<periodic_thread>([this] { return snapshots_.step(); });
}

void state_subsystem::stop()
{
    snapshot_thread_.reset();
    source_.stop();
}

} // namespace banyanshunt
