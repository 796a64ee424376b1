#pragma once

/// \file
/// Defines who owns a failure domain's share: a pure fold over the records of the domain's share
/// stream, with the rules for when a cut and a gain take effect.
///
/// Each record lists the members that split the domain's share equally. A host's part is the least
/// that any record from the last *settled* one to the newest gives it, so a cut holds on reading. A
/// record is settled once every host that may still act on an older one has read it, or can no
/// longer act at all because what it must have heard is too old. docs/SHARES.md has the proof.

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
    /// does not follow the newest one is void, so of two racing ones all readers see one winner.
    log_offset follows;
    std::vector<host_incarnation> members;
    /// Every life that may still act on a record before this one.
    std::vector<host_incarnation> former;
    /// The lives that are members in every record on which one of `former` may still act. Each
    /// of them is asked for a promise by such a host, so its word that it gives none is proof.
    std::vector<host_incarnation> witnesses;
};

struct share_lease_options
{
    /// How long a read of the log, or the promises of all other members, last.
    milliseconds lease{3000};
    /// How long after its last read of the log a host may use its share at all.
    milliseconds outage{600'000};
    /// By how much a loan may outlive its lender's right to lend.
    milliseconds loan_wait{3000};
    /// A member that was not heard for this long is proposed to be removed.
    milliseconds evict_after{5000};
    /// A newest record older than this is written again, before the log drops it.
    milliseconds refresh{600'000};
};

/// The membership of one domain as one life of a host knows it.
class share_membership
{
public:
    share_membership(host_incarnation self, const share_lease_options& options)
        : self_(std::move(self)), options_(options)
    {
    }

    /// Begins anew in the middle of the stream, at the oldest record that the log still keeps; what
    /// was read before is forgotten, and with it the share. A record then counts only once a later
    /// one follows it, which no host writes after a void one.
    void restart_from(log_offset first_kept);
    /// Applies the record at `offset`, read at `now`; returns whether it is the new newest one.
    bool apply(const share_record& record, log_offset offset, instant now);
    /// Counts a record that cannot be read as applied.
    void skip(log_offset offset) { through_ = offset + log_offset(1); }
    /// The first offset that is not applied.
    log_offset next_offset() const { return through_; }

    /// Notes that a read that began at `began` reached the stream's end.
    void record_log_read(instant began) { log_read_ = std::max(log_read_.value_or(began), began); }
    /// Notes what a peer said of itself. `requested` is when the call began whose answer it came
    /// in; what came in a peer's own call is old news and promises nothing.
    void record_peer(const host_incarnation& peer, const share_progress& progress,
                     std::optional<instant> asked, instant now);
    /// Notes that this host has given up all that the newest record took from it.
    void record_cut() { progress_.cut = progress_.read; }
    /// Moves the settled record on, as far as what was heard allows.
    void settle(instant now);

    /// How far this host is; it goes with every call and answer.
    const share_progress& progress() const { return progress_; }
    /// This host owns 1 / `divisor` of a layer of the domain's share; 0 means it owns nothing.
    int divisor(share_layer layer) const;
    /// Until when this host may use a layer of its share.
    instant usable_until(share_layer layer) const;
    /// Whether this host is a member in the newest record.
    bool is_member() const;
    /// The members in the newest record.
    std::vector<host_incarnation> members() const;
    /// Whether this life has held its part since the stream's first record, so that nobody else
    /// can have spent from it.
    bool held_from_first() const { return held_from_first_; }
    /// Whether every life that might act on an older record is done with it.
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
    struct peer_view
    {
        share_progress progress;
        /// When `progress.read` was first known to be what it is.
        instant read_known;
        instant heard;
        /// When the newest call began whose answer showed no newer record than this host's.
        std::optional<instant> promised;
        int removals = 0;
    };

    void note_held(const share_record& record, log_offset offset);
    bool find_proven(const share_record& record, log_offset offset, instant now);
    bool cleared(std::size_t index, const host_incarnation& life, share_layer layer,
                 instant now) const;
    bool lapsed(std::size_t index, const host_incarnation& life, share_layer layer,
                instant now) const;
    bool witnessed(std::size_t index, const host_incarnation& life, instant now) const;
    std::optional<instant> all_promised() const;
    std::vector<host_incarnation> silent_members(instant now) const;
    share_record next_record(std::vector<host_incarnation> members) const;

    host_incarnation self_;
    share_lease_options options_;
    /// The records from the older layer's settled one on; all that were read before one is settled.
    std::deque<applied_record> records_;
    /// Offset plus 1 of each layer's settled record; 0 before the first.
    layered<log_offset> settled_;
    std::map<host_incarnation, peer_view> peers_;
    std::optional<instant> log_read_;
    share_progress progress_;
    log_offset through_;
    bool started_late_ = false;
    bool held_from_first_ = false;
    std::deque<applied_record> unproven_;
};

} // namespace banyanshunt
