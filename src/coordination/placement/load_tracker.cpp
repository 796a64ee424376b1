#include "coordination/placement/load_tracker.hpp"

namespace banyanshunt
{

void load_tracker::record_start(const replica_location& location, checkpoint_tier tier, instant now)
{
    loads_[location] = {.tier = tier, .started_at = now};
}

void load_tracker::observe_server(const leased_server& server, instant now)
{
    for (const auto& replica : server.report.replicas)
    {
        replica_location location{.server = server.server, .model = replica.model};
        if (replica.phase == replica_phase::loading)
        {
            loads_.try_emplace(location,
                               tracked_load{.tier = checkpoint_tier::remote, .started_at = now});
            continue;
        }
        auto it = loads_.find(location);
        if (it != loads_.end() && replica.phase == replica_phase::ready)
        {
            times_.record(it->second.tier, now - it->second.started_at);
        }
    }
}

void load_tracker::observe(const placement_view& view)
{
    std::map<server_id, const leased_server*> servers;
    for (const auto& server : view.servers)
    {
        observe_server(server, view.now);
        servers[server.server] = &server;
    }
    std::erase_if(loads_,
                  [&](const auto& it)
                  {
                      auto found = servers.find(it.first.server);
                      if (found == servers.end())
                      {
                          return true;
                      }
                      const leased_server& server = *found->second;
                      const held_replica* replica = find_replica(server.report, it.first.model);
                      bool loading = replica && replica->phase == replica_phase::loading;
                      bool order_in_flight =
                          !replica && in_flight(server, {.model = it.first.model, .adapter = {}});
                      return !loading && !order_in_flight;
                  });
}

std::vector<instant> load_tracker::remote_ready_times() const
{
    std::vector<instant> times;
    for (const auto& [location, load] : loads_)
    {
        if (load.tier == checkpoint_tier::remote)
        {
            times.push_back(load.started_at + times_.expected(load.tier));
        }
    }
    return times;
}

std::optional<instant> load_tracker::ready_time(const replica_location& location) const
{
    auto it = loads_.find(location);
    if (it == loads_.end())
    {
        return std::nullopt;
    }
    return it->second.started_at + times_.expected(it->second.tier);
}

} // namespace banyanshunt
