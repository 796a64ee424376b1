#pragma once

/// \file
/// Processes all information about the state and the peers, independent of sockets: receives the
/// log's end, the platform's list and the peers' heartbeats, and produces responses to peers.

#include <mutex>

#include "coordination/peer_table.hpp"
#include "coordination/state_delta.hpp"
#include "coordination/view_age.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// A host's response to a heartbeat.
struct exchange_response
{
    heartbeat responder;
    /// The changes that the caller lacks, if any.
    std::optional<state_delta> delta;
    /// Bytes of heartbeat and response, without the transport's overhead.
    std::size_t bytes = 0;
};

/// The identity of this host.
struct state_manager_options
{
    host_id host;
    std::string role = entry_role;
    incarnation_id incarnation;
    domain_id domain;
    /// A peer without a heartbeat for this long does not count as live.
    milliseconds peer_timeout{2000};
};

/// Holds the current state, its age, and the view of peers. Thread-safe.
class state_manager
{
public:
    explicit state_manager(const state_manager_options& options);

    state_cell& cell() { return cell_; }
    const state_cell& cell() const { return cell_; }

    /// Sets the addresses for peers and operators, which are known once the servers listen.
    void set_addresses(const std::string& peer, const std::string& admin);
    /// Marks this host as leaving in all further heartbeats.
    void begin_leaving();

    /// This host's heartbeat at `now`.
    heartbeat own_heartbeat(instant now) const;
    /// Applies a caller's heartbeat and returns this host's, with the changes that the caller
    /// lacks.
    exchange_response handle_heartbeat(const heartbeat& from, instant now);
    /// Returns and clears the address of the last caller whose state was newer than this host's;
    /// empty if there was none since the last call. An exchange with that peer is the fastest way
    /// to catch up.
    std::string pop_newer_peer();
    /// Applies the response to an exchange that this host started at `requested`; returns whether
    /// it advanced the state.
    bool handle_response(const exchange_response& response, instant requested, instant now);
    /// Records that a read of the log that began at `requested` found its end at `end`.
    void confirm_log_end(log_offset end, instant requested);
    void handle_host_list(const std::vector<listed_host>& list, instant now);

    /// Time since the view was last confirmed; empty before the first confirmation.
    std::optional<milliseconds> age(instant now) const;
    /// A copy of the view of peers.
    peer_table peers() const;
    const state_manager_options& options() const { return options_; }

private:
    state_manager_options options_;
    state_cell cell_;
    mutable std::mutex mutex_;
    peer_table peers_;
    view_age age_;
    std::string peer_address_;
    std::string admin_address_;
    std::string newer_peer_;
    bool leaving_ = false;
};

} // namespace banyanshunt
