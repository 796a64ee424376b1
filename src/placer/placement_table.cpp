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

void placement_table::apply(const placement_response& answer, const std::optional<domain_id>& only)
{
    std::lock_guard lock(mutex_);
    std::map<domain_id, domain_placement> said;
    for (const auto& [domain, known] : domains_)
    {
        bool covered = !only || domain == *only;
        if (covered)
        {
            said[domain].servers = answer.unchanged ? known.servers : std::vector<placed_server>();
        }
    }
    for (const auto& server : answer.servers)
    {
        said[server.domain].servers.push_back(server);
    }
    for (const auto& it : answer.expected)
    {
        said[it.domain].expected.push_back(it);
    }
    for (auto& [domain, it] : said)
    {
        put_locked(domain, std::move(it));
    }
}

void placement_table::fill(const demand& it, placement_response& answer) const
{
    std::lock_guard lock(mutex_);
    answer.version = version_;
    answer.unchanged = it.known_version == version_;
    for (const auto& [domain, known] : domains_)
    {
        if (it.hop == demand_hop::from_domain && domain != own_)
        {
            continue;
        }
        answer.expected.insert(answer.expected.end(), known.expected.begin(), known.expected.end());
        if (!answer.unchanged)
        {
            answer.servers.insert(answer.servers.end(), known.servers.begin(), known.servers.end());
        }
    }
}

} // namespace banyanshunt
