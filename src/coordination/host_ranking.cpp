#include "coordination/host_ranking.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

std::vector<host_id> first_in_ranking(std::string_view key, std::vector<ranked_host> hosts,
                                      std::size_t count)
{
    struct entry
    {
        std::size_t domain_rank = 0;
        std::uint64_t weight;
        ranked_host it;
    };
    std::vector<entry> ranking;
    for (auto& host : hosts)
    {
        auto weight = rendezvous_weight(key, host.host.str());
        ranking.push_back({.weight = weight, .it = std::move(host)});
    }
    auto ranks_before = [](const entry& a, const entry& b)
    {
        return std::tie(a.domain_rank, b.weight, a.it.host) <
               std::tie(b.domain_rank, a.weight, b.it.host);
    };
    std::sort(ranking.begin(), ranking.end(), ranks_before);
    std::map<domain_id, std::size_t> domain_counts;
    for (auto& host : ranking)
    {
        host.domain_rank = domain_counts[host.it.domain]++;
    }
    std::sort(ranking.begin(), ranking.end(), ranks_before);
    std::vector<host_id> first;
    for (std::size_t n = 0; n < std::min(count, ranking.size()); ++n)
    {
        first.push_back(ranking[n].it.host);
    }
    return first;
}

} // namespace banyanshunt
