#include "coordination/placement/slot_writer.hpp"

namespace banyanshunt
{

bool slot_writer::settled(const slot_ledger& ledger) const
{
    slot_version written{.fencing = options_.fencing, .sequence = last_ ? last_->sequence : 0};
    return ledger.version_of(options_.server) >= written;
}

// The wanted slots without those that other servers own, which cannot be claimed now.
slot_set slot_writer::available(const slot_ledger& ledger, const slot_set& wanted) const
{
    slot_set result;
    for (const auto& slot : wanted)
    {
        auto owner = ledger.owner(slot);
        if (!owner || *owner == options_.server)
        {
            result.insert(slot);
        }
    }
    return result;
}

std::optional<slot_record> slot_writer::next(const slot_ledger& ledger, const slot_set& wanted,
                                             instant now)
{
    slot_version newest = ledger.version_of(options_.server);
    if (newest.fencing > options_.fencing)
    {
        return std::nullopt; // A later holder has written, so this lease has ended.
    }
    if (last_ && !settled(ledger))
    {
        if (now - last_written_at_ < options_.retry_after)
        {
            return std::nullopt;
        }
        last_written_at_ = now;
        return last_;
    }
    slot_set next = available(ledger, wanted);
    bool refresh = !last_ || now - last_written_at_ >= options_.refresh_after;
    if (!refresh && next == ledger.slots_of(options_.server))
    {
        return std::nullopt;
    }
    last_ = slot_record{.server = options_.server,
                        .fencing = options_.fencing,
                        .sequence = last_ ? last_->sequence + 1 : 1,
                        .slots = std::move(next)};
    last_written_at_ = now;
    return last_;
}

bool slot_writer::may_use(const slot_ledger& ledger, const replica_slot& slot) const
{
    bool is_owner = last_ && ledger.version_of(options_.server).fencing == options_.fencing &&
                    ledger.owner(slot) == options_.server;
    return is_owner && (settled(ledger) || last_->slots.contains(slot));
}

} // namespace banyanshunt
