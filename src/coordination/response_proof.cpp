#include "coordination/response_proof.hpp"

#include <functional>
#include <string>

namespace banyanshunt
{

namespace
{

std::size_t hash_of(const request_id& id)
{
    return std::hash<std::string>{}(id.str());
}

} // namespace

bool connection_history::may_carry(const request_id& id) const
{
    if (id.empty())
    {
        return sent_.empty() && !carried_call_ && !foreign_;
    }
    return !is_full() && !sent_.contains(hash_of(id));
}

void connection_history::record_sent(const request_id& id)
{
    if (id.empty())
    {
        carried_call_ = true;
    }
    else
    {
        sent_.insert(hash_of(id));
    }
}

response_match connection_history::judge(const request_id& id, const std::string& answered_id,
                                         bool interim) const
{
    if (interim || (!answered_id.empty() && answered_id != id.str()))
    {
        return response_match::other;
    }
    if (!answered_id.empty())
    {
        return response_match::exact;
    }
    bool only_one = sent_.size() + (carried_call_ ? 1 : 0) == 1;
    return only_one && !foreign_ ? response_match::unidentified : response_match::unproven;
}

} // namespace banyanshunt
