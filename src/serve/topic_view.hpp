#pragma once

/// \file
/// What hosts of one failure domain share of a topic: the records that one of them has read lately.

#include <deque>
#include <vector>

#include "platform/store.hpp"
#include "state/clock.hpp"

namespace banyanshunt
{

/// The records of a topic that one host has read, from some offset on.
struct topic_view
{
    /// Everything before this offset has been read.
    log_offset end;
    /// When the call that confirmed it was made.
    instant confirmed_at;
    /// Whether `records` holds all changes between the requested offset and `end`.
    bool complete = false;
    std::vector<platform::keyed_record> records;
};

/// How a host came by records.
enum class record_source
{
    /// A read that waited for them.
    waiting_read,
    /// A read beside the one that waits.
    immediate_read,
    /// A read of the newest record of each key.
    complete_read,
    /// Another host's view.
    peer,
};

constexpr const char* to_text(record_source it)
{
    switch (it)
    {
    case record_source::waiting_read:
        return "waiting_read";
    case record_source::immediate_read:
        return "immediate_read";
    case record_source::complete_read:
        return "complete_read";
    default:
        return "peer";
    }
}

/// Whether the records are ones that a host can have read up to the end that the view states.
bool is_consistent(const topic_view& view);

/// The records that a host has read lately, up to some bytes, complete from one offset on.
class recent_records
{
public:
    /// Forgets all records; those from `from` on follow.
    void restart(log_offset from);
    void add(const platform::keyed_record& record);
    /// Forgets the oldest records beyond the bound on bytes.
    void shrink();
    /// Returns the records from `from` on, if all of them are kept and fit a datagram; `end` is the
    /// offset before which the host has read everything.
    topic_view view_from(log_offset from, log_offset end, instant confirmed_at) const;

private:
    std::deque<platform::keyed_record> records_;
    log_offset from_;
    std::size_t bytes_ = 0;
};

} // namespace banyanshunt
