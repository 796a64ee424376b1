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

verdict<placement_response> demand_relay::ask(const std::string& address, demand_hop reach,
                                              std::vector<replica_demand> needs)
{
    demand it{.host = options_.self,
              .domain = options_.domain,
              .needs = std::move(needs),
              .hop = reach,
              .known_version = known_[address]};
    auto answer = send_demand(channels_, address, it, boot_clock().now(), options_.timeout);
    known_[address] = answer ? answer->version : 0;
    return answer;
}

bool demand_relay::ask_holder(domain_peers& own, const host_id& holder)
{
    auto it = own.addresses.find(holder);
    instant now = boot_clock().now();
    if (it == own.addresses.end() || now < own.ask_again_at)
    {
        return false;
    }
    auto answer =
        ask(it->second, demand_hop::in_domain, demands_.merged(demand_hop::from_entry, now));
    if (!answer)
    {
        own.ask_again_at = now + options_.retry_delay;
        return false;
    }
    board_.apply(*answer, std::nullopt);
    return true;
}

void demand_relay::ask_domain(const domain_id& domain, domain_peers& peers)
{
    instant now = boot_clock().now();
    if (peers.addresses.empty() || now < peers.ask_again_at)
    {
        return;
    }
    auto it = peers.holder ? peers.addresses.find(*peers.holder) : peers.addresses.end();
    if (it == peers.addresses.end())
    {
        it = peers.addresses.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(peers.next % peers.addresses.size()));
    }
    auto answer =
        ask(it->second, demand_hop::from_domain, demands_.merged(demand_hop::in_domain, now));
    if (!answer)
    {
        peers.holder.reset();
        ++peers.next;
        peers.ask_again_at = now + options_.retry_delay;
        return;
    }
    peers.holder =
        answer->lease_holder.empty() ? std::nullopt : std::optional(answer->lease_holder);
    board_.apply(*answer, domain);
}

milliseconds demand_relay::step(const std::optional<host_id>& holder)
{
    std::map<domain_id, domain_peers> domains;
    {
        std::lock_guard lock(mutex_);
        domains = domains_;
    }
    domain_peers& own = domains[options_.domain];
    bool other_holds = holder && *holder != options_.self;
    if (!other_holds || !ask_holder(own, *holder))
    {
        for (auto& [domain, peers] : domains)
        {
            if (domain != options_.domain)
            {
                ask_domain(domain, peers);
            }
        }
    }
    auto neighbours = static_cast<int>(own.addresses.size());
    {
        std::lock_guard lock(mutex_);
        for (auto& [domain, peers] : domains_)
        {
            auto asked = domains.find(domain);
            if (asked != domains.end())
            {
                asked->second.addresses = std::move(peers.addresses);
                peers = std::move(asked->second);
            }
        }
    }
    bool busy = !demands_.merged(demand_hop::from_domain, boot_clock().now()).empty();
    return busy ? options_.busy_interval
                : std::max(options_.min_idle_interval, options_.idle_interval * neighbours);
}

} // namespace banyanshunt
