#pragma once

/// \file
/// The interface to the platform's append-only log service. The contract, including what may be
/// lost, delayed or duplicated, is in docs/INTERFACES.md.

#include <concepts>
#include <span>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// A record to append.
struct log_entry
{
    /// Assigned by the writer; identifies the record when the append's response was lost.
    record_id id;
    std::string data;
};

/// A record as stored in the log.
struct log_record
{
    log_offset offset;
    record_id id;
    std::string data;
};

/// A sequence of consecutive records.
struct log_page
{
    /// The oldest offset that the log still keeps.
    log_offset first_kept;
    /// The offset that the next record appended to the stream will get.
    log_offset end;
    std::vector<log_record> records;
};

/// A client of the log service.
///
/// `append` stores either all entries at consecutive offsets or none, and returns the offset of the
/// first. After a failure with `may_have_run` the entries may be in the log or appear there later.
/// `read` waits up to `wait` for a record at `from`; an empty page is not a failure. It fails with
/// `errc::records_expired` when `from` is no longer kept.
template <class T>
concept log_service = requires(T& log, const stream_name& stream, std::span<const log_entry> batch,
                               log_offset from, std::size_t limit, milliseconds wait)
{
    {
        log.append(stream, batch)
        } -> std::same_as<verdict<log_offset>>;
    {
        log.read(stream, from, limit, wait)
        } -> std::same_as<verdict<log_page>>;
};

/// The stream in which operators publish tickets.
inline const stream_name tickets_stream{"tickets"};

} // namespace banyanshunt
