#include "entry/placement_client.hpp"

#include <algorithm>
#include <map>

namespace banyanshunt
{

replica_table ready_replicas(const std::vector<placed_server>& servers, const domain_id& own_domain)
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
                 .same_domain = server.domain == own_domain,
                 .leaving = server.leaving});
        }
    }
    return table;
}

void placement_client::set_hosts(const std::vector<listed_host>& hosts)
{
    auto distance = [this](const listed_host& it)
    {
        bool same_host = it.name == options_.host.str();
        return same_host ? 0 : it.domain == options_.domain ? 1 : 2;
    };
    std::vector<listed_host> placers;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(placers),
                 [](const listed_host& it) { return it.role == "placer"; });
    std::stable_sort(placers.begin(), placers.end(),
                     [&](const auto& a, const auto& b) { return distance(a) < distance(b); });
    std::lock_guard lock(mutex_);
    placers_.clear();
    for (const auto& placer : placers)
    {
        placers_.push_back(placer.address);
    }
}

verdict<placement_response> placement_client::request(const std::string& placer,
                                                      std::vector<replica_demand> needs)
{
    if (placer != last_placer_)
    {
        known_version_ = 0;
        last_placer_ = placer;
    }
    demand it{.host = options_.host,
              .domain = options_.domain,
              .needs = std::move(needs),
              .hop = demand_hop::from_entry,
              .known_version = known_version_};
    return send_demand(channels_, placer, it, boot_clock().now(), options_.timeout);
}

void placement_client::handle_response(const placement_response& response)
{
    known_version_ = response.version;
    if (!response.unchanged)
    {
        servers_ = response.servers;
    }
    dispatcher_.set_replicas(ready_replicas(servers_, options_.domain));
    // Several domains may load a model; the first that is ready counts.
    std::map<model_id, instant> ready_at;
    for (const auto& it : response.expected)
    {
        auto known = ready_at.try_emplace(it.model, it.ready_at).first;
        known->second = std::min(known->second, it.ready_at);
    }
    dispatcher_.reject_unmeetable(ready_at);
}

milliseconds placement_client::step()
{
    std::vector<std::string> placers;
    {
        std::lock_guard lock(mutex_);
        placers = placers_;
    }
    auto needs = dispatcher_.demands();
    // Trying more placers would only lengthen the round.
    constexpr std::size_t max_tried = 3;
    for (std::size_t n = 0; n < std::min(placers.size(), max_tried); ++n)
    {
        auto response = request(placers[n], needs);
        if (response)
        {
            handle_response(*response);
            break;
        }
    }
    return needs.empty() ? options_.idle_interval : options_.busy_interval;
}

} // namespace banyanshunt
