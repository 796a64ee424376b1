#include "placer/demand_table.hpp"

#include <algorithm>

namespace banyanshunt
{
namespace
{

constexpr milliseconds demand_valid_for(3000);

bool contains(const std::vector<replica_demand>& demands, const replica_demand& demand)
{
    return std::any_of(demands.begin(), demands.end(),
                       [&](const replica_demand& it)
                       { return it.model == demand.model && it.adapter == demand.adapter; });
}

} // namespace

bool demand_table::put(const demand& it, instant now)
{
    std::lock_guard lock(mutex_);
    std::erase_if(hosts_,
                  [&](const auto& old) { return now - old.second.received_at > demand_valid_for; });
    received_demand& previous = hosts_[{it.host, it.hop}];
    bool has_new = std::any_of(it.needs.begin(), it.needs.end(),
                               [&](const replica_demand& demand)
                               { return !contains(previous.demands, demand); });
    previous = {.demands = it.needs, .received_at = now};
    return has_new;
}

std::vector<replica_demand> demand_table::merged(demand_hop hop, instant now) const
{
    std::lock_guard lock(mutex_);
    std::vector<replica_demand> all;
    for (const auto& [sender, report] : hosts_)
    {
        if (now - report.received_at > demand_valid_for || sender.second > hop)
        {
            continue;
        }
        for (const auto& demand : report.demands)
        {
            auto it = std::find_if(all.begin(), all.end(),
                                   [&](const replica_demand& known) {
                                       return known.model == demand.model &&
                                              known.adapter == demand.adapter;
                                   });
            if (it == all.end())
            {
                all.push_back(demand);
                continue;
            }
            it->waiting += demand.waiting;
            it->last_deadline = std::max(it->last_deadline, demand.last_deadline);
            if (demand.deadline < it->deadline)
            {
                it->deadline = demand.deadline;
                it->workspace = demand.workspace;
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const replica_demand& a, const replica_demand& b)
              { return a.deadline < b.deadline; });
    return all;
}

} // namespace banyanshunt
