#include "entry/snapshot_task.hpp"

#include <fmt/format.h>

#include "state/log_line.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds look_interval(5000);
// At most ten parts a second, so that a snapshot leaves the log to others.
constexpr milliseconds part_interval(100);
constexpr milliseconds failed_append_pause(2000);

} // namespace

milliseconds snapshot_task::step()
{
    return writer_ ? write() : look();
}

// Returns false when the log cannot be read: nothing is decided on old knowledge.
bool snapshot_task::note_newest()
{
    auto entries = newest_snapshots(log_, json_snapshot_codec());
    if (!entries)
    {
        return false;
    }
    if (!entries->empty() && entries->front().next_offset != schedule_.newest())
    {
        schedule_.record_snapshot(entries->front().next_offset, boot_clock().now());
    }
    return true;
}

milliseconds snapshot_task::look()
{
    auto rank = snapshot_rank(keeper_.options().host, keeper_.peers(), boot_clock().now());
    if (rank >= snapshot_writer_count || !note_newest())
    {
        return look_interval;
    }
    auto state = keeper_.cell().get();
    if (!schedule_.due(state->next_offset, rank, boot_clock().now()))
    {
        return look_interval;
    }
    std::string name = fmt::format("{}.{:x}.{}", keeper_.options().host.str(),
                                   keeper_.options().incarnation.count(), written_++);
    writer_ = std::make_unique<snapshot_writer<http_log_service>>(log_, json_snapshot_codec(),
                                                                  *state, name);
    return milliseconds(0);
}

milliseconds snapshot_task::write()
{
    auto whole = writer_->step();
    if (!whole)
    {
        counters_.increment("banyanshunt_snapshot_failures_total");
        return failed_append_pause;
    }
    if (!*whole)
    {
        return part_interval;
    }
    log_info("snapshot_written", "name={} parts={} through={}", writer_->entry().name,
             writer_->entry().chunks, writer_->entry().next_offset.count());
    counters_.increment("banyanshunt_snapshots_total");
    schedule_.record_snapshot(writer_->entry().next_offset, boot_clock().now());
    writer_.reset();
    return look_interval;
}

} // namespace banyanshunt
