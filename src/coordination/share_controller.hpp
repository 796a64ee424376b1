#pragma once

/// \file
/// Defines one host's part in the owned shares: ledger, membership, waiting requests and the calls
/// to peers, as one state machine that reads no clock and opens no socket.

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
    /// How many failure domains there are. Each owns the same part, which never moves.
    int domains = 1;
    share_ledger_options ledger;
    share_lease_options lease;
    share_peer_options peers;
    /// How often members of one domain call each other even with nothing to ask.
    milliseconds heartbeat{500};
    /// The longest that the end of a loan waits for another reason to call its lender.
    milliseconds report_delay{20};
    /// How long a leaving host lends its balance before it waits for the loans to end.
    milliseconds handover{300};
    /// How often a host in demand asks for what full peers would lose.
    milliseconds top_up_period{50};
    /// Whether to ask peers for tokens; without it each host has its own share alone.
    bool may_borrow = true;
    /// Requests that may wait for one resource.
    std::size_t max_waiting = 512;
};

/// A call to make now.
struct outgoing_share_call
{
    host_id recipient;
    share_call call;
};

class share_controller
{
public:
    explicit share_controller(const share_controller_options& options);

    /// Sets the limits over the whole fleet, as the state in force has them.
    void set_limits(const std::map<resource_id, share_size>& limits, instant now);
    /// Sets the other entry hosts, of all domains.
    void set_peers(const std::vector<share_peer>& peers);

    /// Takes now or never; requests that wait go first.
    bool acquire(const resource_id& resource, millitokens amount, instant now);
    /// Waits for tokens; the outcome comes from `process_queues`. Returns nothing when they cannot
    /// come by the deadline, or too many wait.
    std::optional<share_number> enqueue(const resource_id& resource, millitokens amount,
                                        instant deadline, instant now);
    void cancel(const resource_id& resource, share_number id);
    /// Notes that a request outside the queue lacks `amount`, so that peers are asked for it. It
    /// counts for a short while; a caller that still waits says it again.
    void record_shortage(const resource_id& resource, millitokens amount, instant now);
    /// Serves and refuses waiting requests.
    std::vector<share_outcome> process_queues(instant now);
    /// Puts back what was not used; what does not fit goes to peers.
    void release(const resource_id& resource, millitokens amount, instant now);
    /// When `amount` may be there, if the rate and burst over the fleet allow it at all.
    std::optional<milliseconds> time_until(const resource_id& resource, millitokens amount,
                                           instant now);
    millitokens available(const resource_id& resource, instant now);

    /// The membership, to apply records to; call `refresh` afterwards.
    share_membership& membership() { return membership_; }
    const share_membership& membership() const { return membership_; }
    /// Puts the shares in force that the membership gives.
    void refresh(instant now);
    /// A fully read page of the domain's stream began to be read at `began`.
    void record_log_read(instant began, instant now);
    /// From now on nothing is granted, and peers take over the balance.
    void leave(instant now);
    bool leaving() const { return leaving_; }
    /// Whether no loan of this host may be unspent, so that it may give up its share.
    bool may_resign(instant now);

    /// The calls to make now. Each is ended by `handle_response` or `handle_failure`.
    std::vector<outgoing_share_call> outgoing_calls(instant now);
    void handle_response(const host_id& from, const share_response& reply, instant asked,
                         instant now);
    void handle_failure(const host_id& from, instant now);
    /// Answers a peer's call.
    share_response handle_call(const share_call& call, instant now);

private:
    struct demand
    {
        share_queue queue;
        /// What a request outside the queue lacks, from when on, and until when that counts.
        millitokens wanted;
        instant wanted_since;
        instant wanted_until;
        /// Tokens granted in the current and in the last whole span.
        millitokens granted;
        millitokens granted_before;
        instant span_began;
        instant topped_up;
    };

    void confirm(instant now);
    /// What all waiting requests need, and how long the first one has waited; nothing if none.
    static std::optional<share_waiter> needed(const demand& it, instant now);
    void note_granted(demand& it, millitokens amount, instant now) const;
    layered<share_size> own_size(const share_size& fleet) const;
    void add_asks(instant now, std::map<host_id, share_call>& calls);
    void ask_for_waiting(const resource_id& resource, demand& it, instant now,
                         std::map<host_id, share_call>& calls);
    void ask_for_overflow(const resource_id& resource, demand& it, instant now,
                          std::map<host_id, share_call>& calls);
    void add_duties(instant now, std::map<host_id, share_call>& calls);
    millitokens asked(const resource_id& resource) const;
    share_call& call_to(const host_id& peer, std::map<host_id, share_call>& calls) const;

    share_controller_options options_;
    share_ledger ledger_;
    share_membership membership_;
    std::map<resource_id, share_size> limits_;
    std::map<host_id, share_peer_state> peers_;
    std::map<resource_id, demand> demands_;
    std::map<resource_id, millitokens> refunds_;
    std::map<host_incarnation, share_number> refunds_seen_;
    share_number next_;
    log_offset last_read_;
    layered<int> divisors_{0, 0};
    bool leaving_ = false;
    instant left_at_;
};

} // namespace banyanshunt
