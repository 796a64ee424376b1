#pragma once

/// \file
/// Defines what a host does with all evidence about the state and its peers, free of sockets: the
/// log's pages, the platform's list and the peers' heartbeats come in; answers to peers go out.

#include <mutex>

#include "coordination/peer_table.hpp"
#include "coordination/state_delta.hpp"
#include "coordination/view_age.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// What a host answers to a heartbeat.
struct exchange_response
{
    heartbeat responder;
    /// What the caller lacks, if anything.
    std::optional<state_delta> delta;
    /// Bytes of heartbeat and answer, without the transport's own.
    std::size_t bytes = 0;
};

/// Who this host is.
struct state_manager_options
{
    host_id host;
    std::string role = entry_role;
    incarnation_id incarnation;
    domain_id domain;
    /// A peer that was not heard for this long does not count as live.
    milliseconds peer_timeout{2000};
};

/// Keeps the state in force, its age, and the view of peers. Safe from any thread.
class state_manager
{
public:
    explicit state_manager(const state_manager_options& options);

    state_cell& cell() { return cell_; }
    const state_cell& cell() const { return cell_; }

    /// Where peers and operators reach this host; known once its servers listen.
    void set_addresses(const std::string& peer, const std::string& admin);
    /// From now on heartbeats say that this host is leaving.
    void begin_leaving();

    /// What this host says of itself now.
    heartbeat own_heartbeat(instant now) const;
    /// Takes a caller's heartbeat and returns this host's, with what the caller lacks.
    exchange_response handle_heartbeat(const heartbeat& from, instant now);
    /// The address of a caller that was seen to have more in force than this host, once; empty if
    /// there was none since. Asking it is the quickest way forward.
    std::string pop_newer_peer();
    /// Takes the answer to an exchange that this host began at `requested`; returns whether it
    /// moved the state forward.
    bool handle_response(const exchange_response& answer, instant asked, instant now);
    /// The log, asked at `requested`, showed that its end is at `outcome`.
    void confirm_log_end(log_offset end, instant asked);
    void handle_host_list(const std::vector<listed_host>& list, instant now);

    /// Time since the view was confirmed; nothing before the first time.
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
    std::string ahead_;
    bool leaving_ = false;
};

} // namespace banyanshunt
