#pragma once

/// \file
/// The owners of a failure domain's share: a pure fold over the records of the domain's share
/// stream, with the rules for when a reduction and an increase take effect.
///
/// Each record lists the members that split the domain's share equally. A host's share is the
/// smallest that any record from the last *settled* one to the newest gives it, so a reduction
/// takes effect as soon as its record is read. A record is settled once every host that may still
/// act on an older one has read it, or can no longer act at all because its last read of the log
/// and the promises that it received are too old. docs/SHARES.md has the proof.

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "coordination/share_bucket.hpp"
#include "coordination/share_messages.hpp"

namespace banyanshunt
{

/// One record of a domain's share stream.
struct share_record
{
    /// Offset plus 1 of the record that it follows; 0 for the first of the stream. A record that
    /// does not follow the newest one is void, so all readers select the same one of two concurrent
    /// records.
    log_offset follows;
    std::vector<host_incarnation> members;
    /// Every incarnation that may still act on a record before this one.
    std::vector<host_incarnation> former;
    /// The incarnations that are members in every record on which one of `former` may still act.
    /// Such a host needs a promise from each of them, so it cannot act on promises once one of
    /// them refuses.
    std::vector<host_incarnation> witnesses;
};

struct share_lease_options
{
    /// How long a read of the log, or the promises of all other members, are valid.
    milliseconds lease{3000};
    /// The longest time after its last read of the log for which a host may use its share.
    milliseconds outage{600'000};
    /// How long a loan may remain valid after its lender's right to lend has ended.
    milliseconds loan_wait{3000};
    /// A member from which nothing was received for this long is proposed for removal.
    milliseconds evict_after{5000};
    /// If the newest record is older than this, it is appended again before the log expires it.
    milliseconds refresh{600'000};
};

/// The membership of one domain as known to one incarnation of a host.
class share_membership
{
public:
    share_membership(host_incarnation self, const share_lease_options& options)
        : self_(std::move(self)), options_(options)
    {
    }

    /// Restarts in the middle of the stream, at the oldest record that the log still keeps.
    /// Discards all records read before, and with them the share. The first record then counts only
    /// once a later record follows it, because no host appends a record that follows a void one.
    void restart_from(log_offset first_kept);
    /// Applies the record at `offset`, read at `now`; returns whether it became the newest record.
    bool apply(const share_record& record, log_offset offset, instant now);
    /// Counts an unreadable record as applied.
    void skip(log_offset offset) { next_offset_ = offset + log_offset(1); }
    /// The first offset that has not been applied.
    log_offset next_offset() const { return next_offset_; }

    /// Records that a read that started at `read_start` reached the end of the stream.
    void record_log_read(instant read_start)
    {
        last_log_read_ = std::max(last_log_read_.value_or(read_start), read_start);
    }
    /// Records the progress that a peer reported. `call_start` is when the call started whose
    /// response contained it. Progress in a call from the peer has no `call_start` and promises
    /// nothing, because it may be out of date.
    void record_peer(const host_incarnation& peer, const share_progress& progress,
                     std::optional<instant> call_start, instant now);
    /// Records that this host has given up all that the newest record took from it.
    void record_cut() { progress_.cut = progress_.read; }
    /// Advances the settled record as far as the received progress allows.
    void settle(instant now);

    /// This host's progress, which is sent with every call and response.
    const share_progress& progress() const { return progress_; }
    /// This host owns 1 / `divisor` of a layer of the domain's share; 0 means it owns nothing.
    int divisor(share_layer layer) const;
    /// The time until which this host may use a layer of its share.
    instant usable_until(share_layer layer) const;
    /// Whether this host is a member in the newest record.
    bool is_member() const;
    /// The members in the newest record.
    std::vector<host_incarnation> members() const;
    /// Whether this incarnation has held its share since the stream's first record, so that no
    /// other host can have spent from it.
    bool held_from_first() const { return held_from_first_; }
    /// Whether no incarnation can act on a record older than the newest any more.
    bool settled(share_layer layer) const;

    /// The record that this host should append now, if any.
    std::optional<share_record> propose(bool leaving, instant now) const;

private:
    struct applied_record
    {
        log_offset offset;
        share_record record;
        instant read_at;
    };
    struct peer_status
    {
        share_progress progress;
        /// When the current value of `progress.read` was first received.
        instant read_known_since;
        instant last_received;
        /// The start of the latest call whose response showed no newer record than this host's.
        std::optional<instant> promised_at;
        int removals = 0;
    };

    void update_held_from_first(const share_record& record, log_offset offset);
    bool find_first_record(const share_record& record, log_offset offset, instant now);
    bool cleared(std::size_t index, const host_incarnation& member, share_layer layer,
                 instant now) const;
    bool has_expired(std::size_t index, const host_incarnation& member, share_layer layer,
                     instant now) const;
    bool confirmed_by_witness(std::size_t index, const host_incarnation& member, instant now) const;
    std::optional<instant> earliest_promise() const;
    std::vector<host_incarnation> unresponsive_members(instant now) const;
    share_record next_record(std::vector<host_incarnation> members) const;

    host_incarnation self_;
    share_lease_options options_;
    /// The records from the older of the two settled ones on; until both layers have a settled
    /// record, all records read.
    std::deque<applied_record> records_;
    /// Offset plus 1 of each layer's settled record; 0 if there is none yet.
    layered<log_offset> settled_;
    std::map<host_incarnation, peer_status> peers_;
    std::optional<instant> last_log_read_;
    share_progress progress_;
    log_offset next_offset_;
    bool restarted_ = false;
    bool held_from_first_ = false;
    std::deque<applied_record> unconfirmed_;
};

} // namespace banyanshunt
