#pragma once

/// \file
/// Stores snapshots in the log: their chunks in one stream, and a short record for each complete
/// snapshot in an index stream, so that hosts watch the index and read chunks only when they need a
/// state.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/log_service.hpp"
#include "coordination/state_delta.hpp"
#include "state/errors.hpp"
#include "state/state_cell.hpp"

namespace banyanshunt
{

/// The stream of snapshot chunks.
inline const stream_name snapshots_stream{"state-snapshots"};
/// The stream with one record for each complete snapshot.
inline const stream_name snapshot_index_stream{"state-snapshot-index"};

/// The location of the chunks of one complete snapshot.
struct snapshot_entry
{
    /// Each chunk's record id is this name, a dot, and the chunk's number.
    std::string name;
    /// All chunks are at this offset of `snapshots_stream` or later.
    log_offset first_offset;
    std::int64_t chunks = 0;
    /// The end of the prefix of the tickets stream that the snapshot reflects.
    log_offset next_offset;
    friend bool operator==(const snapshot_entry&, const snapshot_entry&) = default;
};

/// The serialized forms, which the layer above defines.
struct snapshot_codec
{
    std::function<std::vector<std::string>(const state_delta&)> encode;
    std::function<verdict<state_delta>(const std::vector<std::string>&)> decode;
    std::function<std::string(const snapshot_entry&)> encode_entry;
    std::function<verdict<snapshot_entry>(const std::string&)> decode_entry;
};

/// The id of a chunk's record.
record_id chunk_id(const snapshot_entry& entry, std::int64_t chunk);

/// The failure of reading a snapshot of which some chunks are no longer kept.
failure chunks_missing(const snapshot_entry& entry);

/// Returns where a stream begins and ends: a read from beyond the end yields an empty page with
/// both.
template <log_service Log>
verdict<log_page> stream_bounds(Log& log, const stream_name& stream)
{
    return log.read(stream, log_offset(INT64_MAX), 1, milliseconds(0));
}

/// Writes one snapshot, one record for each call of `step`.
///
/// A chunk whose append failed but may have taken effect is appended again under the same id.
/// Readers use the first record of each id, so the duplicate is harmless.
template <log_service Log>
class snapshot_writer
{
public:
    snapshot_writer(Log& log, const snapshot_codec& codec, const fleet_state& state,
                    std::string name)
        : log_(log), codec_(codec), chunks_(codec.encode(changes_since(state, log_offset(0))))
    {
        entry_ = {.name = std::move(name),
                  .first_offset = {},
                  .chunks = static_cast<std::int64_t>(chunks_.size()),
                  .next_offset = state.next_offset};
    }

    /// Appends the next record; returns whether the snapshot is complete. Fails as the log fails,
    /// and may then be called again.
    verdict<bool> step()
    {
        if (!bounds_known_)
        {
            auto bounds = stream_bounds(log_, snapshots_stream);
            if (!bounds)
            {
                return bounds.error();
            }
            entry_.first_offset = bounds->end;
            bounds_known_ = true;
        }
        if (next_chunk_ < entry_.chunks)
        {
            return append_chunk();
        }
        log_entry index{.id = record_id(entry_.name), .data = codec_.encode_entry(entry_)};
        auto appended = log_.append(snapshot_index_stream, std::span(&index, 1));
        if (!appended)
        {
            return appended.error();
        }
        return true;
    }

    const snapshot_entry& entry() const { return entry_; }

private:
    verdict<bool> append_chunk()
    {
        log_entry chunk{.id = chunk_id(entry_, next_chunk_),
                        .data = chunks_[static_cast<std::size_t>(next_chunk_)]};
        auto appended = log_.append(snapshots_stream, std::span(&chunk, 1));
        if (!appended)
        {
            return appended.error();
        }
        ++next_chunk_;
        return false;
    }

    Log& log_;
    const snapshot_codec& codec_;
    std::vector<std::string> chunks_;
    snapshot_entry entry_;
    std::int64_t next_chunk_ = 0;
    bool bounds_known_ = false;
};

/// Reads the entries of the newest complete snapshots, newest first.
template <log_service Log>
verdict<std::vector<snapshot_entry>> newest_snapshots(Log& log, const snapshot_codec& codec)
{
    constexpr std::int64_t max_entries = 4;
    auto bounds = stream_bounds(log, snapshot_index_stream);
    if (!bounds)
    {
        return bounds.error();
    }
    log_offset from(std::max(bounds->first_kept.count(), bounds->end.count() - max_entries));
    auto page = log.read(snapshot_index_stream, from, max_entries, milliseconds(0));
    if (!page)
    {
        return page.error();
    }
    std::vector<snapshot_entry> found;
    for (auto it = page->records.rbegin(); it != page->records.rend(); ++it)
    {
        auto entry = codec.decode_entry(it->data);
        if (entry)
        {
            found.push_back(std::move(entry).value());
        }
    }
    return found;
}

/// Reads the state of one snapshot. Fails with `errc::records_expired` when a chunk is not kept.
template <log_service Log>
verdict<fleet_state> read_snapshot(Log& log, const snapshot_codec& codec,
                                   const snapshot_entry& entry)
{
    constexpr std::size_t chunks_per_page = 8;
    std::vector<std::string> chunks;
    log_offset from = entry.first_offset;
    while (static_cast<std::int64_t>(chunks.size()) < entry.chunks)
    {
        auto page = log.read(snapshots_stream, from, chunks_per_page, milliseconds(0));
        if (!page)
        {
            return page.error();
        }
        if (page->records.empty())
        {
            return chunks_missing(entry);
        }
        for (const auto& record : page->records)
        {
            from = record.offset + log_offset(1);
            if (record.id == chunk_id(entry, static_cast<std::int64_t>(chunks.size())))
            {
                chunks.push_back(record.data);
            }
        }
    }
    auto delta = codec.decode(chunks);
    if (!delta)
    {
        return delta.error();
    }
    return delta->entries;
}

/// Applies the newest readable snapshot if it is newer than the current state; returns whether it
/// did.
template <log_service Log>
verdict<bool> load_snapshot(Log& log, const snapshot_codec& codec, state_cell& cell)
{
    auto entries = newest_snapshots(log, codec);
    if (!entries)
    {
        return entries.error();
    }
    for (const auto& entry : *entries)
    {
        if (entry.next_offset <= cell.get()->next_offset)
        {
            continue;
        }
        auto state = read_snapshot(log, codec, entry);
        if (state)
        {
            return cell.advance(std::make_shared<const fleet_state>(std::move(state).value()));
        }
    }
    return false;
}

} // namespace banyanshunt
