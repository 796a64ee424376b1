#pragma once

/// \file
/// Decides when a host writes a snapshot of the state to the log.
///
/// The log keeps tickets and snapshots for a limited time, so the state must be written again
/// before either expires. Hosts agree on one writer without communication: rendezvous hashing ranks
/// the hosts, the first one writes when a snapshot is due, and each further one only if those
/// ranked before it did not. Two concurrent writers do no harm; they only cost additional appends.

#include <optional>

#include "coordination/peer_table.hpp"

namespace banyanshunt
{

struct snapshot_options
{
    /// A snapshot is due this long after the last one; at most a quarter of the log's retention.
    milliseconds interval{600000};
    /// A snapshot is due earlier once the tickets stream has this many newer records.
    std::int64_t record_threshold = 500;
    /// The shortest time between two snapshots, however many records arrive.
    milliseconds min_interval{30000};
    /// The additional delay for each further host in the ranking.
    milliseconds backup_delay{20000};
};

/// The number of hosts, from the top of the ranking, that may write snapshots.
inline constexpr std::size_t snapshot_writer_count = 3;

/// This host's rank among the hosts that are listed or sent a recent heartbeat, 0 for the first
/// writer. The list counts because only a few hosts receive heartbeats from other domains.
std::size_t snapshot_rank(const host_id& self, const peer_table& peers, instant now);

/// Tracks the newest snapshot and decides whether to write another.
class snapshot_schedule
{
public:
    /// `start` serves as the time of the last snapshot until one is seen.
    snapshot_schedule(snapshot_options options, instant start) : options_(options), seen_at_(start)
    {
    }

    /// Records that a complete snapshot of the prefix up to `next_offset` was seen in the log.
    void record_snapshot(log_offset next_offset, instant now);

    /// Whether the host with this rank must write a snapshot of a state that reflects the prefix up
    /// to `next_offset`.
    bool due(log_offset next_offset, std::size_t rank, instant now) const;

    /// The end of the newest prefix with a seen snapshot; empty before the first one.
    const std::optional<log_offset>& newest() const { return newest_; }

private:
    snapshot_options options_;
    instant seen_at_;
    std::optional<log_offset> newest_;
};

} // namespace banyanshunt
