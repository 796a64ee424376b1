#pragma once

/// \file
/// An in-memory log service. The platform stand-in serves it; tests without sockets use it
/// directly.

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

#include "coordination/log_service.hpp"
#include "stand_ins/fault_table.hpp"

namespace banyanshunt
{

/// Record streams with retention. Faults apply to the calls "append" and "read".
class memory_log
{
public:
    verdict<log_offset> append(const stream_name& stream, std::span<const log_entry> batch);
    verdict<log_page> read(const stream_name& stream, log_offset from, std::size_t limit,
                           milliseconds wait);

    /// While down, every call is refused and nothing takes effect.
    void set_down(bool down);
    /// Drops all but the newest `records` records of each stream.
    void expire_all_but(std::size_t records);

    fault_table& faults() { return faults_; }
    /// The number of appends that took effect so far.
    std::int64_t appends() const;

private:
    struct stream_records
    {
        log_offset first;
        std::deque<log_record> records;

        log_offset end() const
        {
            return first + log_offset(static_cast<std::int64_t>(records.size()));
        }
    };

    log_offset put(const stream_name& stream, std::span<const log_entry> batch);

    mutable std::mutex mutex_;
    std::condition_variable records_added_;
    std::map<stream_name, stream_records> streams_;
    bool down_ = false;
    std::int64_t appends_ = 0;
    fault_table faults_;
};

static_assert(log_service<memory_log>);

} // namespace banyanshunt
