#include "coordination/lease_book.hpp"

namespace banyanshunt
{

bool lease_book::apply(const lease_claim& claim, log_offset offset)
{
    through_ = offset + log_offset(1);
    auto it = leases_.find(claim.server);
    fencing_number newest = it == leases_.end() ? fencing_number() : it->second.fencing;
    if (claim.follows != newest)
    {
        return false;
    }
    leases_[claim.server] = {
        .holder = claim.holder, .life = claim.life, .fencing = fencing_number(offset.count() + 1)};
    return true;
}

std::optional<lease> lease_book::find(const server_id& server) const
{
    auto it = leases_.find(server);
    return it == leases_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace banyanshunt
