#include "coordination/unserved_targets.hpp"

namespace banyanshunt
{

unserved_targets::change unserved_targets::record(const model_target& target, bool served,
                                                  instant now)
{
    if (served)
    {
        auto it = targets_.find(target);
        bool was_unserved = it != targets_.end() && it->second.unserved;
        if (it != targets_.end())
        {
            targets_.erase(it);
        }
        return was_unserved ? change::served_again : change::none;
    }
    auto& it =
        targets_.try_emplace(target, record_of_target{.first = now, .last = now}).first->second;
    ++it.requests;
    it.last = now;
    bool unserved = it.requests >= options_.min_requests && now - it.first >= options_.min_span;
    if (!unserved || it.unserved)
    {
        return change::none;
    }
    it.unserved = true;
    return change::became_unserved;
}

std::size_t unserved_targets::count(instant now)
{
    std::erase_if(targets_,
                  [&](const auto& it) { return now - it.second.last > options_.forget_after; });
    std::size_t sum = 0;
    for (const auto& [target, it] : targets_)
    {
        sum += it.unserved ? 1 : 0;
    }
    return sum;
}

int unserved_targets::requests(const model_target& target) const
{
    auto it = targets_.find(target);
    return it == targets_.end() ? 0 : it->second.requests;
}

} // namespace banyanshunt
