#pragma once

/// \file
/// Defines the duty that writes snapshots of the state into the log when they fall due.

#include <memory>

#include "coordination/snapshot_schedule.hpp"
#include "coordination/state_manager.hpp"
#include "protocol/snapshot_codec.hpp"
#include "transport/metrics.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{

/// One thread calls `kind`.
class snapshot_task
{
public:
    snapshot_task(http_log_service& log, state_manager& keeper, metrics& counters,
                  const snapshot_options& options)
        : log_(log), keeper_(keeper), counters_(counters), schedule_(options, boot_clock().now())
    {
    }

    /// Looks whether a snapshot is due, or writes the next part of one; returns the pause after.
    milliseconds step();

private:
    milliseconds look();
    milliseconds write();
    bool note_newest();

    http_log_service& log_;
    state_manager& keeper_;
    metrics& counters_;
    snapshot_schedule schedule_;
    std::unique_ptr<snapshot_writer<http_log_service>> writer_;
    std::int64_t written_ = 0;
};

} // namespace banyanshunt
