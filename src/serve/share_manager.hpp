#pragma once

/// \file
/// Holds this host's shares of the workspaces' rates and borrows tokens for pending requests.
///
/// A host that lacks tokens requests them from a few owners of shares and waits some milliseconds.
/// It returns unused tokens at once, and reports spent loans at once, since an owner's depth stays
/// lowered until then.

#include <optional>
#include <set>

#include "coordination/lender_choice.hpp"
#include "serve/peer_list.hpp"

namespace banyanshunt
{

class share_manager
{
public:
    share_manager(host_context& context, peer_list& peers) : context_(context), peers_(peers) {}

    /// This host may hold shares from `at` on, when the other hosts can know of it.
    void start_at(instant at) { starts_at_ = starts_at_.value_or(at); }
    bool started() const { return starts_at_.has_value(); }
    /// Whether the other hosts can know of this one.
    bool usable(instant now) const { return starts_at_ && now >= *starts_at_; }
    /// Sets this host's shares according to the configuration and the known hosts.
    void update_shares();

    /// Acquires tokens of a workspace, borrowing from peers if needed.
    task<bool> acquire(workspace_id workspace, millitokens amount);
    /// Responds to a peer's token requests, and accepts its loans and loan ends.
    void handle_message(const host_id& from, peer& sender, const peers::peer_message& message);
    /// Adds the lendable tokens of this host to a report.
    void fill_lendable(peers::peer_message& message, instant now);
    /// Also adds the loan ends for `host`.
    void fill_report(const host_id& host, const peer& to, peers::peer_message& message,
                     instant now);

private:
    std::set<share_number> request_loans(const workspace_id& workspace, millitokens missing);
    task<bool> acquire_or_borrow(const workspace_id& workspace, millitokens amount);
    void send_loan_ends();
    void add_ends(const host_incarnation& lender, peers::peer_message& message);
    void log_shortage(const workspace_id& workspace, millitokens amount);

    host_context& context_;
    peer_list& peers_;
    std::optional<instant> starts_at_;
    /// Token requests without a response yet.
    std::set<share_number> pending_requests_;
    /// Number of requests that are acquiring tokens, by workspace.
    std::map<workspace_id, int> acquiring_;
};

} // namespace banyanshunt
