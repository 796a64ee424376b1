#include "entry/state_part.hpp"

#include "protocol/admin_codec.hpp"

namespace banyanshunt
{

state_part::state_part(const entry_settings& settings, http_client& http, peer_channels& channels,
                       metrics& counters, state_source::list_sink told_list)
    : source_({.host = settings.host,
               .platform = settings.platform,
               .peer_patience = settings.state.peer_patience,
               .seeds = settings.state.seeds},
              http, channels, counters, std::move(told_list)),
      log_(http, settings.platform.log, settings.platform.patience),
      snapshots_(log_, source_.keeper(), counters, settings.state.snapshots),
      service_([this](const heartbeat& it)
               { return source_.keeper().answer(it, boot_clock().now()); })
{
}

void state_part::add_admin_handlers(http_server& admin)
{
    admin.handle("GET", "/state",
                 [this](auto&)
                 {
                     instant now = boot_clock().now();
                     auto status = status_of(source_.keeper().self(now), peers(), now);
                     return http_reply{.headers = {}, .body = encode_status(status), .stream = {}};
                 });
    admin.handle(
        "GET", "/state/objects",
        [this](auto&)
        { return http_reply{.headers = {}, .body = encode_objects(*cell().get()), .stream = {}}; });
}

void state_part::start(const std::string& peer_address, const std::string& admin_address)
{
    source_.keeper().set_addresses(peer_address, admin_address);
    source_.start();
    snapshot_thread_ = std::make_unique<duty_thread>([this] { return snapshots_.step(); });
}

void state_part::stop()
{
    snapshot_thread_.reset();
    source_.stop();
}

} // namespace banyanshunt
