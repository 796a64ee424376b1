#pragma once

/// \file
/// Keeps a daemon's applied state and its view of peers up to date. It follows the tickets' stream
/// and the platform's host list, and exchanges heartbeats with entry hosts, so that the state still
/// arrives while either the log or the peers are unreachable.

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

struct state_source_options
{
    process_settings host;
    platform_settings platform;
    /// Other hosts track an entry host by its heartbeats; a placer only queries them.
    std::string role = "entry";
    milliseconds peer_timeout{2000};
    /// Peer addresses to query while no peer is known, as when the platform's list is unreachable.
    std::vector<std::string> seeds = {};
    /// The shortest time between two exchanges that this process starts.
    milliseconds min_exchange_interval{125};
    /// The same for exchanges with other domains, except in the round after a change of the state.
    milliseconds cross_domain_interval{500};
};

/// Runs from `start` to `stop`.
class state_source
{
public:
    /// Receives each list read from the platform.
    using list_sink = std::function<void(const std::vector<listed_host>&)>;

    state_source(const state_source_options& options, http_client& http, peer_channels& channels,
                 metrics& counters, list_sink on_host_list);
    ~state_source();

    void start();
    void stop();

    /// The applied state; listeners can subscribe to its changes.
    state_cell& cell() { return manager_.cell(); }
    /// A copy of the view of peers: those listed and those that sent heartbeats.
    peer_table peers() const { return manager_.peers(); }
    /// The incarnation of this process.
    incarnation_id incarnation() const { return manager_.options().incarnation; }
    /// Time since the applied state was last confirmed; nothing before the first confirmation.
    std::optional<milliseconds> state_age() const { return manager_.age(boot_clock().now()); }
    state_manager& manager() { return manager_; }

private:
    struct threads;

    void record_ticket(const ticket_outcome& it);
    milliseconds follow_tickets();
    verdict<done> read_tickets();
    milliseconds follow_hosts();
    milliseconds exchange_same_domain();
    milliseconds exchange_cross_domain();
    relay_round plan() const;
    void exchange_with(const std::string& address);

    state_source_options options_;
    peer_channels& channels_;
    metrics& counters_;
    list_sink on_host_list_;
    state_manager manager_;
    http_log_service log_;
    http_host_list hosts_;
    state_follower<http_log_service> follower_;
    relay_plan_options plan_;
    std::vector<std::string> same_domain_;
    std::vector<std::string> cross_domain_;
    log_offset cross_domain_offset_;
    instant next_cross_domain_;
    std::size_t urgent_exchanges_ = 0;
    bool log_reachable_ = true;
    bool snapshot_needed_ = true;
    std::unique_ptr<threads> threads_;
};

} // namespace banyanshunt
