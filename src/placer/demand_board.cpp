#include "placer/demand_board.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr milliseconds word_valid_for(2000);

} // namespace

void demand_board::put(const host_id& host, std::vector<replica_need> needs, instant now)
{
    std::lock_guard lock(mutex_);
    hosts_[host] = {.needs = std::move(needs), .at = now};
}

std::vector<replica_need> demand_board::joined(instant now) const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_need> all;
    for (const auto& [host, word] : hosts_)
    {
        if (now - word.at > word_valid_for)
        {
            continue;
        }
        for (const auto& need : word.needs)
        {
            auto it =
                std::find_if(all.begin(), all.end(),
                             [&](const replica_need& known) {
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
              [](const replica_need& a, const replica_need& b) { return a.deadline < b.deadline; });
    return all;
}

} // namespace banyanshunt
