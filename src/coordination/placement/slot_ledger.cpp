#include "coordination/placement/slot_ledger.hpp"

namespace banyanshunt
{

bool slot_ledger::apply(const slot_record& record, log_offset offset)
{
    next_offset_ = offset + log_offset(1);
    slot_version version{.fencing = record.fencing, .sequence = record.sequence};
    slot_version& newest = versions_[record.server];
    if (version <= newest)
    {
        return false;
    }
    newest = version;
    slot_set& owned = owned_[record.server];
    for (const auto& slot : owned)
    {
        if (!record.slots.contains(slot))
        {
            owners_.erase(slot);
        }
    }
    owned.clear();
    for (const auto& slot : record.slots)
    {
        const server_id& owner = owners_.try_emplace(slot, record.server).first->second;
        if (owner == record.server)
        {
            owned.insert(slot);
        }
    }
    return true;
}

void slot_ledger::restart(log_offset first)
{
    *this = slot_ledger();
    next_offset_ = first;
}

std::optional<server_id> slot_ledger::owner(const replica_slot& slot) const
{
    auto it = owners_.find(slot);
    return it == owners_.end() ? std::nullopt : std::optional(it->second);
}

slot_set slot_ledger::slots_of(const server_id& server) const
{
    auto it = owned_.find(server);
    return it == owned_.end() ? slot_set() : it->second;
}

slot_version slot_ledger::version_of(const server_id& server) const
{
    auto it = versions_.find(server);
    return it == versions_.end() ? slot_version() : it->second;
}

} // namespace banyanshunt
