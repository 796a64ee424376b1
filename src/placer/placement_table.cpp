#include "placer/placement_table.hpp"

#include <algorithm>

namespace banyanshunt
{

void placement_table::put(const domain_id& domain, domain_placement it)
{
    std::lock_guard lock(mutex_);
    put_locked(domain, std::move(it));
}

void placement_table::put_locked(const domain_id& domain, domain_placement it)
{
    domain_placement& known = domains_[domain];
    if (known.servers != it.servers)
    {
        ++version_;
    }
    known = std::move(it);
}

void placement_table::apply(const placement_response& response,
                            const std::optional<domain_id>& only)
{
    std::lock_guard lock(mutex_);
    std::map<domain_id, domain_placement> updates;
    for (const auto& [domain, known] : domains_)
    {
        bool covered = !only || domain == *only;
        if (covered)
        {
            updates[domain].servers =
                response.unchanged ? known.servers : std::vector<placed_server>();
        }
    }
    for (const auto& server : response.servers)
    {
        updates[server.domain].servers.push_back(server);
    }
    for (const auto& it : response.expected)
    {
        updates[it.domain].expected.push_back(it);
    }
    for (auto& [domain, it] : updates)
    {
        put_locked(domain, std::move(it));
    }
}

void placement_table::fill(const demand& it, placement_response& response) const
{
    std::lock_guard lock(mutex_);
    response.version = version_;
    response.unchanged = it.known_version == version_;
    for (const auto& [domain, known] : domains_)
    {
        if (it.hop == demand_hop::from_domain && domain != own_domain_)
        {
            continue;
        }
        response.expected.insert(response.expected.end(), known.expected.begin(),
                                 known.expected.end());
        if (!response.unchanged)
        {
            response.servers.insert(response.servers.end(), known.servers.begin(),
                                    known.servers.end());
        }
    }
}

} // namespace banyanshunt
