#pragma once

/// \file
/// Defines the part of an entry host that keeps the state in force and the view of its peers,
/// offers both to peers and operators, and writes snapshots.

#include "entry/entry_settings.hpp"
#include "entry/snapshot_duty.hpp"
#include "state/duty_thread.hpp"
#include "transport/http_server.hpp"
#include "transport/state_source.hpp"

namespace banyanshunt
{

/// Runs from `start` to `stop`.
class state_part
{
public:
    state_part(const entry_settings& settings, http_client& http, peer_channels& channels,
               metrics& counters, state_source::list_sink told_list);

    /// Adds /state and /state/objects, which operators ask.
    void add_admin_handlers(http_server& admin);
    /// The service to offer to peers.
    grpc::Service* service() { return service_.service(); }

    void start(const std::string& peer_address, const std::string& admin_address);
    /// Tells peers that this host is leaving.
    void leave() { source_.keeper().leave(); }
    void stop();

    /// The state in force; its changes can be listened to.
    state_cell& cell() { return source_.cell(); }
    /// A copy of the view of peers: who is listed, who was heard.
    liveness peers() const { return source_.peers(); }
    /// This life of this host.
    incarnation life() const { return source_.life(); }
    /// Time since the state in force was confirmed; nothing before the first time.
    std::optional<milliseconds> age() const { return source_.age(); }

private:
    state_source source_;
    http_log_service log_;
    snapshot_duty snapshots_;
    state_relay_service service_;
    std::unique_ptr<duty_thread> snapshot_thread_;
};

} // namespace banyanshunt
