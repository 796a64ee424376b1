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
        bool there = peer.listed || peer.heartbeat_within(peers.peer_timeout(), now);
        if (there && !peer.leaving())
        {
            names.push_back(id.str());
        }
    }
    auto ranked = rendezvous_order("snapshot", std::move(names));
    auto place = std::find(ranked.begin(), ranked.end(), self.str());
    return static_cast<std::size_t>(place - ranked.begin());
}

void snapshot_schedule::record_snapshot(log_offset through, instant now)
{
    if (!newest_ || *newest_ < through)
    {
        newest_ = through;
    }
    seen_at_ = now;
}

bool snapshot_schedule::due(log_offset through, std::size_t rank, instant now) const
{
    bool anything = through.count() > 0;
    if (!anything || rank >= snapshot_writer_count)
    {
        return false;
    }
    std::int64_t records = through.count() - (newest_ ? newest_->count() : 0);
    bool many = records >= options_.record_threshold;
    // With no snapshot at all, the first one does not wait for the whole interval.
    bool early = many || !newest_;
    milliseconds wait = early ? options_.min_interval : options_.interval;
    return now - seen_at_ >= wait + options_.backup_delay * static_cast<int>(rank);
}

} // namespace banyanshunt
