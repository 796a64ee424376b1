#include "entry/snapshot_duty.hpp"

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

milliseconds snapshot_duty::step()
{
    return writer_ ? write() : look();
}

// Returns false when the log cannot be read: nothing is decided on old knowledge.
bool snapshot_duty::note_newest()
{
    auto entries = newest_snapshots(log_, json_snapshot_codec());
    if (!entries)
    {
        return false;
    }
    if (!entries->empty() && entries->front().through != schedule_.newest())
    {
        schedule_.note(entries->front().through, boot_clock().now());
    }
    return true;
}

milliseconds snapshot_duty::look()
{
    auto rank = snapshot_rank(keeper_.options().host, keeper_.peers(), boot_clock().now());
    if (rank >= snapshot_writers || !note_newest())
    {
        return look_interval;
    }
    auto state = keeper_.cell().get();
    if (!schedule_.due(state->through, rank, boot_clock().now()))
    {
        return look_interval;
    }
    std::string name = fmt::format("{}.{:x}.{}", keeper_.options().host.str(),
                                   keeper_.options().life.count(), written_++);
    writer_ = std::make_unique<snapshot_writer<http_log_service>>(log_, json_snapshot_codec(),
                                                                  *state, name);
    return milliseconds(0);
}

milliseconds snapshot_duty::write()
{
    auto whole = writer_->step();
    if (!whole)
    {
        counters_.count("banyanshunt_snapshot_failures_total");
        return failed_append_pause;
    }
    if (!*whole)
    {
        return part_interval;
    }
    log_change("snapshot_written", "name={} parts={} through={}", writer_->entry().name,
               writer_->entry().parts, writer_->entry().through.count());
    counters_.count("banyanshunt_snapshots_total");
    schedule_.note(writer_->entry().through, boot_clock().now());
    writer_.reset();
    return look_interval;
}

} // namespace banyanshunt
