#include "coordination/lease_table.hpp"

namespace banyanshunt
{

bool lease_table::apply(const lease_claim& claim, log_offset offset)
{
    next_offset_ = offset + log_offset(1);
    auto it = leases_.find(claim.server);
    fencing_number newest = it == leases_.end() ? fencing_number() : it->second.fencing;
    bool may_have_expired = partial_ && it == leases_.end();
    if (claim.follows != newest && !may_have_expired)
    {
        return false;
    }
    leases_[claim.server] = {.holder = claim.holder,
                             .incarnation = claim.incarnation,
                             .fencing = fencing_number(offset.count() + 1),
                             .released_for = claim.released_for};
    return true;
}

std::optional<lease> lease_table::find(const server_id& server) const
{
    auto it = leases_.find(server);
    return it == leases_.end() ? std::nullopt : std::optional(it->second);
}

void lease_table::reset(log_offset first)
{
    leases_.clear();
    next_offset_ = first;
    partial_ = true;
}

std::vector<server_id> lease_table::servers() const
{
    std::vector<server_id> all;
    for (const auto& [server, it] : leases_)
    {
        all.push_back(server);
    }
    return all;
}

} // namespace banyanshunt
