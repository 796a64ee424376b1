#pragma once

/// \file
/// Defines the part of an entry host that keeps the state in force and the view of its peers: it
/// follows the tickets' stream and the platform's list, and exchanges heartbeats with peers.

#include <functional>
#include <memory>

#include "coordination/relay_plan.hpp"
#include "coordination/state_follower.hpp"
#include "entry/entry_settings.hpp"
#include "entry/snapshot_duty.hpp"
#include "transport/http_server.hpp"
#include "transport/metrics.hpp"
#include "transport/platform_clients.hpp"
#include "transport/state_relay.hpp"

namespace banyanshunt
{

/// Runs from `start` to `stop`.
class state_part
{
public:
    /// Gets each newest list of the platform.
    using list_sink = std::function<void(const std::vector<listed_host>&)>;

    state_part(const entry_settings& settings, http_client& http, peer_channels& channels,
               metrics& counters, list_sink told_list);
    ~state_part();

    /// Adds /state and /state/objects, which operators ask.
    void add_admin_handlers(http_server& admin);

    /// The service to offer to peers.
    grpc::Service* service();

    void start(const std::string& peer_address, const std::string& admin_address);
    /// Tells peers that this host is leaving.
    void leave();
    void stop();

    /// The state in force; its changes can be listened to.
    state_cell& cell() { return keeper_.cell(); }
    /// A copy of the view of peers: who is listed, who was heard.
    liveness peers() const { return keeper_.peers(); }
    /// This life of this host.
    incarnation life() const { return keeper_.options().life; }
    /// Time since the state in force was confirmed; nothing before the first time.
    std::optional<milliseconds> age() const { return keeper_.age(boot_clock().now()); }
    state_keeper& keeper() { return keeper_; }

private:
    struct duties;

    void note_ticket(const ticket_outcome& it);
    milliseconds follow_tickets();
    verdict<done> read_tickets();
    milliseconds follow_hosts();
    milliseconds exchange_near();
    milliseconds exchange_far();
    milliseconds exchange_next(std::vector<std::string>& queue, bool near);
    void exchange_with(const std::string& address);

    const entry_settings& settings_;
    peer_channels& channels_;
    metrics& counters_;
    list_sink told_list_;
    state_keeper keeper_;
    http_log_service log_;
    http_host_list hosts_;
    state_follower<http_log_service> follower_;
    snapshot_duty snapshots_;
    state_relay_service service_;
    relay_plan_options plan_;
    std::vector<std::string> near_;
    std::vector<std::string> far_;
    bool log_heard_ = true;
    bool snapshot_wanted_ = true;
    std::unique_ptr<duties> duties_;
};

} // namespace banyanshunt
