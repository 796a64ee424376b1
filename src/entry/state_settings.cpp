#include "entry/state_settings.hpp"

#include <sstream>

namespace banyanshunt
{

state_settings read_state_settings(settings_file& file)
{
    constexpr std::int64_t max_records = 1'000'000;
    state_settings it;
    it.snapshots.interval = file.duration("state", "snapshot_interval_ms", it.snapshots.interval);
    it.snapshots.min_interval =
        file.duration("state", "snapshot_shortest_ms", it.snapshots.min_interval);
    it.snapshots.backup_delay =
        file.duration("state", "snapshot_backup_ms", it.snapshots.backup_delay);
    it.snapshots.record_threshold =
        file.integer("state", "snapshot_records", 1, max_records, it.snapshots.record_threshold);
    it.peer_timeout = file.duration("state", "peer_patience_ms", it.peer_timeout);
    std::istringstream seeds(file.text("state", "seeds", ""));
    for (std::string seed; std::getline(seeds, seed, ',');)
    {
        it.seeds.push_back(seed);
    }
    return it;
}

} // namespace banyanshunt
