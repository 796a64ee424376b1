#pragma once

/// \file
/// Manages replica slots: reads their stream, and writes the records of the servers whose leases
/// this placer holds.

#include <limits>

#include "coordination/log_service.hpp"
#include "coordination/placement/slot_claims.hpp"
#include "coordination/placement/slot_writer.hpp"
#include "protocol/slot_codec.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

struct slot_manager_options
{
    /// The host that writes; part of its records' ids.
    host_id writer;
    milliseconds retry_after{500};
    milliseconds refresh_after{600'000};
    /// Differs between placers, so that not all copy the record of an unresponsive owner at once.
    milliseconds copy_delay{0};
};

/// Used by one thread.
template <log_service Log, clock_source Clock>
class slot_manager
{
public:
    slot_manager(Log& log, const Clock& clock, slot_manager_options options)
        : log_(log), clock_(clock), options_(std::move(options))
    {
    }

    /// Reads the stream to its end. A failed read does not change owners: only a server's own
    /// records take its slots away.
    verdict<done> read()
    {
        constexpr std::size_t page_limit = 256;
        while (true)
        {
            auto page = log_.read(slots_stream, ledger_.next_offset(), page_limit, milliseconds(0));
            if (!page && page.error().code == errc::records_expired)
            {
                page = restart();
            }
            if (!page)
            {
                return page.error();
            }
            for (const auto& record : page->records)
            {
                handle(record);
            }
            if (ledger_.next_offset() >= page->end)
            {
                read_complete_ = true;
                return done{};
            }
        }
    }

    /// Keeps or creates a writer for each of these servers and fencing numbers; drops the others.
    void set_held(const std::map<server_id, fencing_number>& held)
    {
        std::erase_if(writers_,
                      [&](const auto& it)
                      {
                          auto current = held.find(it.first);
                          return current == held.end() || current->second != it.second.fencing;
                      });
        for (const auto& [server, fencing] : held)
        {
            slot_writer_options options{.server = server,
                                        .fencing = fencing,
                                        .retry_after = options_.retry_after,
                                        .refresh_after = options_.refresh_after};
            writers_.try_emplace(server,
                                 held_writer{.fencing = fencing, .writer = slot_writer(options)});
        }
    }

    /// Appends the records through which each held server comes to own the slots it wants.
    verdict<done> write(const std::map<server_id, slot_set>& wanted)
    {
        if (!read_complete_)
        {
            return done{};
        }
        std::vector<log_entry> batch;
        for (const auto& [server, slots] : wanted)
        {
            auto it = writers_.find(server);
            if (it == writers_.end())
            {
                continue;
            }
            auto record = it->second.writer.next(ledger_, slots, clock_.now());
            if (record)
            {
                batch.push_back({.id = record_id("slots." + options_.writer.str()),
                                 .data = encode_slot_record(*record)});
            }
        }
        copy_old_records(batch);
        if (batch.empty())
        {
            return done{};
        }
        auto appended = log_.append(slots_stream, batch);
        if (!appended)
        {
            return appended.error();
        }
        return done{};
    }

    bool may_use(const server_id& server, const replica_slot& slot) const
    {
        auto it = writers_.find(server);
        return read_complete_ && it != writers_.end() && it->second.writer.may_use(ledger_, slot);
    }

    const slot_ledger& ledger() const { return ledger_; }

    /// Whether slots without an owner may be claimed: not while an owner's record may have expired
    /// unread.
    bool may_claim() const
    {
        constexpr int refresh_intervals = 2;
        return read_complete_ && (!restarted_at_ || clock_.now() - *restarted_at_ >=
                                                        options_.refresh_after * refresh_intervals);
    }

private:
    struct held_writer
    {
        fencing_number fencing;
        slot_writer writer;
    };

    verdict<log_page> restart()
    {
        log_offset beyond_end(std::numeric_limits<std::int64_t>::max() / 2);
        auto page = log_.read(slots_stream, beyond_end, 1, milliseconds(0));
        if (page)
        {
            ledger_.restart(page->first_kept);
            newest_records_.clear();
            restarted_at_ = clock_.now();
        }
        return page;
    }

    void handle(const log_record& record)
    {
        auto slots = decode_slot_record(record.data);
        if (!slots)
        {
            ledger_.skip(record.offset);
            return;
        }
        slot_version version{.fencing = slots->fencing, .sequence = slots->sequence};
        bool newest =
            ledger_.apply(*slots, record.offset) || version == ledger_.version_of(slots->server);
        if (newest)
        {
            newest_records_[slots->server] = {.data = record.data, .seen_at = clock_.now()};
        }
    }

    // The newest record of a partitioned owner must not expire, or a new reader would treat its
    // slots as unowned. Any reader may append an identical copy, because a copy changes nothing.
    void copy_old_records(std::vector<log_entry>& batch)
    {
        constexpr int refresh_intervals = 2;
        instant now = clock_.now();
        for (auto& [server, it] : newest_records_)
        {
            bool is_overdue = now - it.seen_at >=
                              options_.refresh_after * refresh_intervals + options_.copy_delay;
            if (is_overdue && !writers_.contains(server))
            {
                it.seen_at = now;
                batch.push_back(
                    {.id = record_id("slots.copy." + options_.writer.str()), .data = it.data});
            }
        }
    }

    struct seen_record
    {
        std::string data;
        instant seen_at;
    };

    Log& log_;
    const Clock& clock_;
    slot_manager_options options_;
    slot_ledger ledger_;
    std::map<server_id, held_writer> writers_;
    /// Each server's newest record.
    std::map<server_id, seen_record> newest_records_;
    std::optional<instant> restarted_at_;
    /// Whether the stream was read to its end at least once.
    bool read_complete_ = false;
};

} // namespace banyanshunt
