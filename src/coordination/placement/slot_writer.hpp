#pragma once

/// \file
/// Writes one server's slot records under one lease. An append whose response was lost must be
/// settled before the next one, and a slot must not be used while a record that gives it up may
/// still be appended.

#include "coordination/placement/slot_ledger.hpp"
#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct slot_writer_options
{
    server_id server;
    /// The fencing number of the lease under which records are written.
    fencing_number fencing;
    /// How long to wait for a record to appear in the stream before it is appended again.
    milliseconds retry_after{500};
    /// How often an unchanged record is written again, so that it outlives the log's retention;
    /// must be well under that retention.
    milliseconds refresh_after{600'000};
};

/// Used by one thread.
class slot_writer
{
public:
    explicit slot_writer(slot_writer_options options) : options_(std::move(options)) {}

    /// Returns the record to append now so that the server comes to own `wanted`, if any.
    /// The first record under a lease is written even when it changes nothing, so that delayed
    /// records of earlier holders are ignored. At most one record is unsettled; until it appears in
    /// the ledger, only that same record is returned again.
    std::optional<slot_record> next(const slot_ledger& ledger, const slot_set& wanted, instant now);

    /// Whether the server owns `slot` and no record of this lease can still give it up.
    bool may_use(const slot_ledger& ledger, const replica_slot& slot) const;

private:
    bool settled(const slot_ledger& ledger) const;
    slot_set available(const slot_ledger& ledger, const slot_set& wanted) const;

    slot_writer_options options_;
    /// The newest record returned.
    std::optional<slot_record> last_;
    instant last_written_at_;
};

} // namespace banyanshunt
