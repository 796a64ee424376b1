#pragma once

/// \file
/// Defines when a host writes a snapshot of the state into the log.
///
/// The log keeps tickets for a limited time, so the state must be written again before they expire,
/// and so must a snapshot. Hosts agree on one writer with no talk: rendezvous ranks the live hosts,
/// the first one writes when a snapshot falls due, and each further one only when those before it
/// have let it pass. Two writers at once do no harm, they only cost appends.

#include <optional>

#include "coordination/peer_table.hpp"

namespace banyanshunt
{

struct snapshot_options
{
    /// A snapshot falls due this long after the last one; at most a quarter of the log's retention.
    milliseconds interval{600000};
    /// A snapshot falls due earlier once this many records of the tickets' stream came after it.
    std::int64_t record_threshold = 500;
    /// The shortest time between two snapshots, whatever comes in.
    milliseconds min_interval{30000};
    /// How much longer each further host in the ranking waits.
    milliseconds backup_delay{20000};
};

/// How many hosts of the ranking watch the snapshots; the others leave it to them.
inline constexpr std::size_t snapshot_writer_count = 3;

/// This host's place in the ranking of hosts that are listed or heard, 0 for the first writer. The
/// list counts, as far hosts are heard only by a few.
std::size_t snapshot_rank(const host_id& self, const peer_table& peers, instant now);

/// Knows the newest snapshot and decides whether to write another.
class snapshot_schedule
{
public:
    /// `start` counts as the time of the last snapshot until one is seen.
    snapshot_schedule(snapshot_options options, instant start) : options_(options), seen_at_(start)
    {
    }

    /// A whole snapshot of the prefix up to `next_offset` was seen in the log.
    void record_snapshot(log_offset through, instant now);

    /// Whether the host with this rank is to write a snapshot of a state that reflects
    /// `next_offset`.
    bool due(log_offset through, std::size_t rank, instant now) const;

    /// The newest prefix that a snapshot was seen of; nothing before the first one.
    const std::optional<log_offset>& newest() const { return newest_; }

private:
    snapshot_options options_;
    instant seen_at_;
    std::optional<log_offset> newest_;
};

} // namespace banyanshunt
