#pragma once

/// \file
/// Writes snapshots of the state into the log when they are due.

#include <memory>

#include "coordination/snapshot_schedule.hpp"
#include "coordination/state_manager.hpp"
#include "protocol/snapshot_codec.hpp"
#include "transport/metrics.hpp"
#include "transport/platform_clients.hpp"

namespace banyanshunt
{

/// One thread calls `step`.
class snapshot_task
{
public:
    snapshot_task(http_log_service& log, state_manager& manager, metrics& counters,
                  const snapshot_options& options)
        : log_(log), manager_(manager), counters_(counters), schedule_(options, boot_clock().now())
    {
    }

    /// Checks whether a snapshot is due, or writes the next chunk of one. Returns the pause until
    /// the next call.
    milliseconds step();

private:
    milliseconds check();
    milliseconds write();
    bool record_newest();

    http_log_service& log_;
    state_manager& manager_;
    metrics& counters_;
    snapshot_schedule schedule_;
    std::unique_ptr<snapshot_writer<http_log_service>> writer_;
    std::int64_t written_ = 0;
};

} // namespace banyanshunt
