#include "placer/demand_table.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr milliseconds word_valid_for(3000);

bool lists(const std::vector<replica_demand>& needs, const replica_demand& one)
{
    return std::any_of(needs.begin(), needs.end(),
                       [&](const replica_demand& it)
                       { return it.model == one.model && it.adapter == one.adapter; });
}

} // namespace

bool demand_table::put(const demand& it, instant now)
{
    std::lock_guard lock(mutex_);
    std::erase_if(hosts_, [&](const auto& old) { return now - old.second.at > word_valid_for; });
    told& before = hosts_[{it.host, it.hop}];
    bool more = std::any_of(it.needs.begin(), it.needs.end(),
                            [&](const replica_demand& need) { return !lists(before.needs, need); });
    before = {.needs = it.needs, .at = now};
    return more;
}

std::vector<replica_demand> demand_table::merged(demand_hop reach, instant now) const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_demand> all;
    for (const auto& [host, word] : hosts_)
    {
        if (now - word.at > word_valid_for || host.second > reach)
        {
            continue;
        }
        for (const auto& need : word.needs)
        {
            auto it =
                std::find_if(all.begin(), all.end(),
                             [&](const replica_demand& known) {
                                 return known.model == need.model && known.adapter == need.adapter;
                             });
            if (it == all.end())
            {
                all.push_back(need);
                continue;
            }
            it->waiting += need.waiting;
            it->last_deadline = std::max(it->last_deadline, need.last_deadline);
            if (need.deadline < it->deadline)
            {
                it->deadline = need.deadline;
                it->workspace = need.workspace;
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const replica_demand& a, const replica_demand& b)
              { return a.deadline < b.deadline; });
    return all;
}

} // namespace banyanshunt
