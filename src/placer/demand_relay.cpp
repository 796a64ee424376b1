#include "placer/demand_relay.hpp"

#include <algorithm>

namespace banyanshunt
{

void demand_relay::set_hosts(const std::vector<listed_host>& hosts)
{
    std::map<domain_id, std::map<host_id, std::string>> listed;
    for (const auto& host : hosts)
    {
        if (host.role == "placer" && !host.leaving)
        {
            listed[host.domain][host_id(host.name)] = host.address;
        }
    }
    std::lock_guard lock(mutex_);
    std::erase_if(domains_, [&](const auto& it) { return !listed.contains(it.first); });
    for (auto& [domain, addresses] : listed)
    {
        domains_[domain].addresses = std::move(addresses);
    }
}

verdict<placement_response> demand_relay::query(const std::string& address, demand_hop hop,
                                                std::vector<replica_demand> demands)
{
    demand it{.host = options_.self,
              .domain = options_.domain,
              .needs = std::move(demands),
              .hop = hop,
              .known_version = known_versions_[address]};
    auto response = send_demand(channels_, address, it, boot_clock().now(), options_.timeout);
    known_versions_[address] = response ? response->version : 0;
    return response;
}

bool demand_relay::query_holder(domain_peers& own, const host_id& holder)
{
    auto it = own.addresses.find(holder);
    instant now = boot_clock().now();
    if (it == own.addresses.end() || now < own.retry_at)
    {
        return false;
    }
    auto response =
        query(it->second, demand_hop::in_domain, demands_.merged(demand_hop::from_entry, now));
    if (!response)
    {
        own.retry_at = now + options_.retry_delay;
        return false;
    }
    placements_.apply(*response, std::nullopt);
    return true;
}

void demand_relay::query_domain(const domain_id& domain, domain_peers& peers)
{
    instant now = boot_clock().now();
    if (peers.addresses.empty() || now < peers.retry_at)
    {
        return;
    }
    auto it = peers.holder ? peers.addresses.find(*peers.holder) : peers.addresses.end();
    if (it == peers.addresses.end())
    {
        it = peers.addresses.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(peers.next_index % peers.addresses.size()));
    }
    auto response =
        query(it->second, demand_hop::from_domain, demands_.merged(demand_hop::in_domain, now));
    if (!response)
    {
        peers.holder.reset();
        ++peers.next_index;
        peers.retry_at = now + options_.retry_delay;
        return;
    }
    peers.holder =
        response->lease_holder.empty() ? std::nullopt : std::optional(response->lease_holder);
    placements_.apply(*response, domain);
}

milliseconds demand_relay::step(const std::optional<host_id>& holder)
{
    std::map<domain_id, domain_peers> domains;
    {
        std::lock_guard lock(mutex_);
        domains = domains_;
    }
    domain_peers& own = domains[options_.domain];
    bool held_elsewhere = holder && *holder != options_.self;
    if (!held_elsewhere || !query_holder(own, *holder))
    {
        for (auto& [domain, peers] : domains)
        {
            if (domain != options_.domain)
            {
                query_domain(domain, peers);
            }
        }
    }
    auto placer_count = static_cast<int>(own.addresses.size());
    {
        std::lock_guard lock(mutex_);
        for (auto& [domain, peers] : domains_)
        {
            auto updated = domains.find(domain);
            if (updated != domains.end())
            {
                updated->second.addresses = std::move(peers.addresses);
                peers = std::move(updated->second);
            }
        }
    }
    bool has_demand = !demands_.merged(demand_hop::from_domain, boot_clock().now()).empty();
    return has_demand ? options_.busy_interval
                      : std::max(options_.min_idle_interval, options_.idle_interval * placer_count);
}

} // namespace banyanshunt
