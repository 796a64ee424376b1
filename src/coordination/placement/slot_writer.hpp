#pragma once

/// \file
/// Defines the writer of one server's slot records under one lease, because an append whose answer
/// was lost must be settled before the next, and a slot must not be used while a record that gives
/// it away may still land.

#include "coordination/placement/slot_ledger.hpp"
#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct slot_writer_options
{
    server_id server;
    /// The lease under which this writer writes.
    fencing_number fencing;
    /// How long to wait for a record to show in the stream before it is appended again.
    milliseconds retry_after{500};
    /// How often a record that nothing has changed is written again, so that it outlives the log's
    /// retention; well under that retention.
    milliseconds refresh_after{600'000};
};

/// Used by one thread.
class slot_writer
{
public:
    explicit slot_writer(slot_writer_options options) : options_(std::move(options)) {}

    /// Returns the record to append now so that the server comes to own `wanted`, if there is one.
    /// The first record under a lease is written even when it changes nothing: it shuts out late
    /// records of earlier holders. At most one record is unsettled; until it shows in the ledger,
    /// only that same record is returned again.
    std::optional<slot_record> next(const slot_ledger& ledger, const slot_set& wanted, instant now);

    /// Whether the server owns `slot` and no record of this lease may still take it away.
    bool may_use(const slot_ledger& ledger, const replica_slot& slot) const;

private:
    bool settled(const slot_ledger& ledger) const;
    slot_set reachable(const slot_ledger& ledger, const slot_set& wanted) const;

    slot_writer_options options_;
    /// The newest record returned.
    std::optional<slot_record> last_;
    instant last_at_;
};

} // namespace banyanshunt
