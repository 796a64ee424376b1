#include "coordination/snapshot_schedule.hpp"

#include <algorithm>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

std::size_t snapshot_rank(const host_id& self, const peer_table& peers, instant now)
{
    std::vector<std::string> names = {self.str()};
    for (const auto& [id, peer] : peers.peers())
    {
        bool present = peer.listed || peer.heartbeat_within(peers.peer_timeout(), now);
        if (present && !peer.leaving())
        {
            names.push_back(id.str());
        }
    }
    auto ranked = rendezvous_order("snapshot", std::move(names));
    auto own = std::find(ranked.begin(), ranked.end(), self.str());
    return static_cast<std::size_t>(own - ranked.begin());
}

void snapshot_schedule::record_snapshot(log_offset next_offset, instant now)
{
    if (!newest_ || *newest_ < next_offset)
    {
        newest_ = next_offset;
    }
    seen_at_ = now;
}

bool snapshot_schedule::due(log_offset next_offset, std::size_t rank, instant now) const
{
    bool has_records = next_offset.count() > 0;
    if (!has_records || rank >= snapshot_writer_count)
    {
        return false;
    }
    std::int64_t records = next_offset.count() - (newest_ ? newest_->count() : 0);
    bool many_records = records >= options_.record_threshold;
    // Without any snapshot, the first one does not wait for the full interval.
    bool use_min_interval = many_records || !newest_;
    milliseconds wait = use_min_interval ? options_.min_interval : options_.interval;
    return now - seen_at_ >= wait + options_.backup_delay * static_cast<int>(rank);
}

} // namespace banyanshunt
