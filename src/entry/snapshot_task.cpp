#include "entry/snapshot_task.hpp"

#include <fmt/format.h>

#include "state/log_line.hpp"

namespace banyanshunt
{
namespace
{

constexpr milliseconds check_interval(5000);
// At most ten chunks per second, so that a snapshot leaves capacity of the log to other writers.
constexpr milliseconds chunk_interval(100);
constexpr milliseconds failed_append_pause(2000);

} // namespace

milliseconds snapshot_task::step()
{
    return writer_ ? write() : check();
}

// Returns false when the log cannot be read, so that no decision rests on stale data.
bool snapshot_task::record_newest()
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

milliseconds snapshot_task::check()
{
    auto rank = snapshot_rank(manager_.options().host, manager_.peers(), boot_clock().now());
    if (rank >= snapshot_writer_count || !record_newest())
    {
        return check_interval;
    }
    auto state = manager_.cell().get();
    if (!schedule_.due(state->next_offset, rank, boot_clock().now()))
    {
        return check_interval;
    }
    std::string name = fmt::format("{}.{:x}.{}", manager_.options().host.str(),
                                   manager_.options().incarnation.count(), written_++);
    writer_ = std::make_unique<snapshot_writer<http_log_service>>(log_, json_snapshot_codec(),
                                                                  *state, name);
    return milliseconds(0);
}

milliseconds snapshot_task::write()
{
    auto complete = writer_->step();
    if (!complete)
    {
        counters_.increment("banyanshunt_snapshot_failures_total");
        return failed_append_pause;
    }
    if (!*complete)
    {
        return chunk_interval;
    }
    log_info("snapshot_written", "name={} parts={} through={}", writer_->entry().name,
             writer_->entry().chunks, writer_->entry().next_offset.count());
    counters_.increment("banyanshunt_snapshots_total");
    schedule_.record_snapshot(writer_->entry().next_offset, boot_clock().now());
    writer_.reset();
    return check_interval;
}

} // namespace banyanshunt
