#pragma once

/// \file
/// The subsystem of an entry host that maintains the applied state and the view of its peers,
/// serves both to peers and operators, and writes snapshots.

#include "entry/entry_settings.hpp"
#include "entry/snapshot_task.hpp"
#include "state/periodic_thread.hpp"
#include "transport/http_server.hpp"
#include "transport/state_source.hpp"

namespace banyanshunt
{

/// Runs from `start` to `stop`.
class state_subsystem
{
public:
    state_subsystem(const entry_settings& settings, http_client& http, peer_channels& channels,
                    metrics& counters, state_source::list_sink on_host_list);

    /// Adds /state and /state/objects, which operators query.
    void add_admin_handlers(http_server& admin);
    /// The service to offer to peers.
    grpc::Service* service() { return service_.service(); }

    void start(const std::string& peer_address, const std::string& admin_address);
    /// Reports to peers that this host is leaving.
    void begin_leaving() { source_.manager().begin_leaving(); }
    void stop();

    /// The applied state; listeners can subscribe to its changes.
    state_cell& cell() { return source_.cell(); }
    /// A copy of the view of peers: which are listed, and from which a heartbeat was received.
    peer_table peers() const { return source_.peers(); }
    /// The incarnation of this process.
    incarnation_id incarnation() const { return source_.incarnation(); }
    /// Time since the applied state was confirmed; nothing before the first time.
    std::optional<milliseconds> state_age() const { return source_.state_age(); }

private:
    state_source source_;
    http_log_service log_;
    snapshot_task snapshots_;
    state_relay_service service_;
    std::unique_ptr<periodic_thread> snapshot_thread_;
};

} // namespace banyanshunt
