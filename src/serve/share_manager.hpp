#pragma once

/// \file
/// Defines the duty that holds this host's shares of the workspaces' rates and borrows tokens for
/// requests in hand.
///
/// A host that lacks tokens asks a few owners of shares and waits some milliseconds; what it did
/// not need goes back at once, and so does the news that a loan is spent, since an owner's depth
/// stays lowered until then.

#include <optional>
#include <set>

#include "coordination/lender_choice.hpp"
#include "serve/peer_list.hpp"

namespace banyanshunt
{

class share_manager
{
public:
    share_manager(host_context& core, peer_list& peers) : core_(core), peers_(peers) {}

    /// This host may hold shares from `ready_at` on, when the others can know of it.
    void begin_at(instant at) { begin_at_ = begin_at_.value_or(at); }
    bool begun() const { return begin_at_.has_value(); }
    /// Sets this host's shares by the configuration and the hosts that are known.
    void update_shares();

    /// Takes tokens of a workspace, borrowing from peers if need be.
    task<bool> acquire(workspace_id workspace, millitokens amount);
    /// Answers a peer's asks, and takes its loans and the ends of loans.
    void handle_message(const host_id& from, peer& sender, const peers::peer_message& message);
    /// Adds what this host could lend to a report.
    void fill_lendable(peers::peer_message& message, instant now);
    /// The same, and the ends of loans of `get`.
    void fill_report(const host_id& host, const peer& to, peers::peer_message& message,
                     instant now);

private:
    std::set<share_number> ask(const workspace_id& workspace, millitokens missing);
    task<bool> gather(const workspace_id& workspace, millitokens amount);
    void tell_ends();
    void add_ends(const host_incarnation& lender, peers::peer_message& message);
    void log_short(const workspace_id& workspace, millitokens amount);

    host_context& core_;
    peer_list& peers_;
    std::optional<instant> begin_at_;
    /// Asks that were not answered yet.
    std::set<share_number> open_asks_;
    /// Requests that are gathering tokens, by workspace.
    std::map<workspace_id, int> gathering_;
};

} // namespace banyanshunt
