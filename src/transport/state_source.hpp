#pragma once

/// \file
/// Defines where a daemon gets the state in force and its view of peers from: it follows the
/// tickets' stream and the platform's list, and exchanges heartbeats with entry hosts, so that the
/// state goes on coming in while either the log or the peers are out of reach.

#include <functional>
#include <memory>

#include "coordination/relay_plan.hpp"
#include "coordination/state_follower.hpp"
#include "protocol/peer_settings.hpp"
#include "transport/metrics.hpp"
#include "transport/platform_clients.hpp"
#include "transport/state_relay.hpp"

namespace banyanshunt
{

/// Who asks, and whom.
struct state_source_options
{
    host_settings host;
    platform_settings platform;
    /// An entry host is heard by the others; a placer only asks.
    std::string role = "entry";
    milliseconds peer_timeout{2000};
    /// Peer addresses to ask while no peer is known, as when the platform's list is out of reach.
    std::vector<std::string> seeds = {};
    /// The shortest time between two exchanges that this process begins.
    milliseconds min_exchange_interval{125};
    /// The same towards other domains, except in the round after a change of the state.
    milliseconds cross_domain_interval{500};
};

/// Runs from `start` to `stop`.
class state_source
{
public:
    /// Gets each newest list of the platform.
    using list_sink = std::function<void(const std::vector<listed_host>&)>;

    state_source(const state_source_options& options, http_client& http, peer_channels& channels,
                 metrics& counters, list_sink told_list);
    ~state_source();

    void start();
    void stop();

    /// The state in force; its changes can be listened to.
    state_cell& cell() { return keeper_.cell(); }
    /// A copy of the view of peers: who is listed, who was heard.
    peer_table peers() const { return keeper_.peers(); }
    /// This life of this process.
    incarnation_id incarnation() const { return keeper_.options().incarnation; }
    /// Time since the state in force was confirmed; nothing before the first time.
    std::optional<milliseconds> state_age() const { return keeper_.age(boot_clock().now()); }
    state_manager& manager() { return keeper_; }

private:
    struct duties;

    void note_ticket(const ticket_outcome& it);
    milliseconds follow_tickets();
    verdict<done> read_tickets();
    milliseconds follow_hosts();
    milliseconds exchange_near();
    milliseconds exchange_far();
    relay_round plan() const;
    void exchange_with(const std::string& address);

    state_source_options options_;
    peer_channels& channels_;
    metrics& counters_;
    list_sink told_list_;
    state_manager keeper_;
    http_log_service log_;
    http_host_list hosts_;
    state_follower<http_log_service> follower_;
    relay_plan_options plan_;
    std::vector<std::string> near_;
    std::vector<std::string> far_;
    log_offset told_far_;
    instant next_far_;
    std::size_t hurry_ = 0;
    bool log_heard_ = true;
    bool snapshot_wanted_ = true;
    std::unique_ptr<duties> duties_;
};

} // namespace banyanshunt
