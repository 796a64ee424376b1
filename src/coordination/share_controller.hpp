#pragma once

/// \file
/// The state machine of one host's owned shares: ledger, membership, waiting requests and calls to
/// peers. It reads no clock and opens no socket.

#include "coordination/share_ledger.hpp"
#include "coordination/share_membership.hpp"
#include "coordination/share_peers.hpp"
#include "coordination/share_queue.hpp"

namespace banyanshunt
{

struct share_controller_options
{
    host_incarnation self;
    domain_id domain;
    /// The number of failure domains. Each owns an equal fraction, which never changes hands.
    int domains = 1;
    share_ledger_options ledger;
    share_lease_options lease;
    share_peer_options peers;
    /// The interval at which members of one domain call each other even if they need no tokens.
    milliseconds heartbeat{500};
    /// How long the report of an ended loan may wait to be sent along with another call.
    milliseconds report_delay{20};
    /// How long a leaving host lends its balance before it waits for its loans to end.
    milliseconds handover{300};
    /// The interval at which a host with demand requests the tokens that full peers would lose.
    milliseconds top_up_period{50};
    /// Whether to borrow tokens from peers; if not, each host has only its own share.
    bool may_borrow = true;
    /// The largest number of requests that may wait for one resource.
    std::size_t max_waiting = 512;
};

/// A call to make now, and the peer to call.
struct outgoing_share_call
{
    host_id recipient;
    share_call call;
};

class share_controller
{
public:
    explicit share_controller(const share_controller_options& options);

    /// Sets the limits over the complete fleet, from the applied state.
    void set_limits(const std::map<resource_id, share_size>& limits, instant now);
    /// Sets the other entry hosts, of all domains.
    void set_peers(const std::vector<share_peer>& peers);

    /// Acquires `amount` or fails at once. Fails while other requests wait for the resource.
    bool acquire(const resource_id& resource, millitokens amount, instant now);
    /// Queues a request for tokens; `process_queues` returns the outcome. Returns nothing if the
    /// tokens cannot be available by the deadline, or if too many requests wait.
    std::optional<share_number> enqueue(const resource_id& resource, millitokens amount,
                                        instant deadline, instant now);
    void cancel(const resource_id& resource, share_number id);
    /// Records that a request outside the queue lacks `amount`, so that it is requested from peers.
    /// The record expires after 100 ms; a caller that still waits has to repeat it.
    void record_shortage(const resource_id& resource, millitokens amount, instant now);
    /// Grants waiting requests in order, and refuses those whose deadline has passed.
    std::vector<share_outcome> process_queues(instant now);
    /// Releases unused tokens; those that do not fit this host's share are refunded to peers.
    void release(const resource_id& resource, millitokens amount, instant now);
    /// The estimated time until `amount` is available; nothing if the resource has no limit or
    /// `amount` exceeds the fleet's burst.
    std::optional<milliseconds> time_until(const resource_id& resource, millitokens amount,
                                           instant now);
    millitokens available(const resource_id& resource, instant now);

    /// The membership, for applying records. Call `refresh` afterwards.
    share_membership& membership() { return membership_; }
    const share_membership& membership() const { return membership_; }
    /// Applies the shares that follow from the membership.
    void refresh(instant now);
    /// Records a complete read of the domain's stream that started at `read_start`.
    void record_log_read(instant read_start, instant now);
    /// Stops granting, and lets peers borrow the balance.
    void leave(instant now);
    bool leaving() const { return leaving_; }
    /// Whether this host is leaving and none of its loans can be unspent any more, so that it may
    /// give up its share.
    bool may_resign(instant now);

    /// The calls to make now. For each, call `handle_response` or `handle_failure` once.
    std::vector<outgoing_share_call> outgoing_calls(instant now);
    void handle_response(const host_id& from, const share_response& response, instant call_start,
                         instant now);
    void handle_failure(const host_id& from, instant now);
    /// Handles a peer's call and returns the response.
    share_response handle_call(const share_call& call, instant now);

private:
    struct demand
    {
        share_queue queue;
        /// What a request outside the queue lacks, since when, and until when the record counts.
        millitokens shortage;
        instant shortage_since;
        instant shortage_until;
        /// Tokens granted in the current and in the last complete interval.
        millitokens granted;
        millitokens granted_before;
        instant span_start;
        instant last_surplus_request;
    };

    void confirm(instant now);
    /// The sum that all waiting requests need, since when the first one waits; nothing if none
    /// waits.
    static std::optional<share_waiter> waiting_demand(const demand& it, instant now);
    void record_grant(demand& it, millitokens amount, instant now) const;
    layered<share_size> own_size(const share_size& fleet) const;
    void add_token_requests(instant now, std::map<host_id, share_call>& calls);
    void request_for_waiters(const resource_id& resource, demand& it, instant now,
                             std::map<host_id, share_call>& calls);
    void request_surplus(const resource_id& resource, demand& it, instant now,
                         std::map<host_id, share_call>& calls);
    void add_due_calls(instant now, std::map<host_id, share_call>& calls);
    millitokens requested_from_peers(const resource_id& resource) const;
    share_call& call_to(const host_id& peer, std::map<host_id, share_call>& calls) const;

    share_controller_options options_;
    share_ledger ledger_;
    share_membership membership_;
    std::map<resource_id, share_size> limits_;
    std::map<host_id, share_peer_state> peers_;
    std::map<resource_id, demand> demands_;
    std::map<resource_id, millitokens> refunds_;
    std::map<host_incarnation, share_number> last_refund_seen_;
    share_number last_number_;
    log_offset last_read_;
    layered<int> divisors_{0, 0};
    bool leaving_ = false;
    instant left_at_;
};

} // namespace banyanshunt
