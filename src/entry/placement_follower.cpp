#include "entry/placement_follower.hpp"

#include <algorithm>

namespace banyanshunt
{

replica_table ready_replicas(const std::vector<placed_server>& servers, const domain_id& near)
{
    replica_table table;
    for (const auto& server : servers)
    {
        for (const auto& replica : server.replicas)
        {
            if (replica.phase != replica_phase::ready)
            {
                continue;
            }
            table.replicas.push_back(
                {.server = server.server,
                 .address = server.address,
                 .model = replica.model,
                 .version = replica.version,
                 .adapters = {replica.adapters.begin(), replica.adapters.end()},
                 .load = replica.running,
                 .near = server.domain == near,
                 .leaving = server.leaving});
        }
    }
    return table;
}

void placement_follower::set_placers(std::vector<std::string> addresses)
{
    std::lock_guard lock(mutex_);
    placers_ = std::move(addresses);
}

// A server's newest lease wins: an older holder's word no longer counts.
void placement_follower::take(const placement_answer& answer, const std::string& from)
{
    std::erase_if(servers_, [&](const auto& known) { return known.second.from == from; });
    for (const auto& server : answer.servers)
    {
        auto it = servers_.find(server.server);
        if (it == servers_.end() || it->second.placed.fencing < server.fencing)
        {
            servers_[server.server] = {.placed = server, .from = from};
        }
    }
}

void placement_follower::step()
{
    std::vector<std::string> placers;
    {
        std::lock_guard lock(mutex_);
        placers = placers_;
    }
    demand it{.host = options_.host, .domain = options_.domain, .needs = board_.needs()};
    for (const auto& placer : placers)
    {
        auto answer = send_demand(channels_, placer, it, boot_clock().now(), options_.patience);
        if (answer)
        {
            take(*answer, placer);
        }
    }
    std::vector<placed_server> servers;
    for (const auto& [id, known] : servers_)
    {
        servers.push_back(known.placed);
    }
    board_.replace(ready_replicas(servers, options_.domain));
}

} // namespace banyanshunt
