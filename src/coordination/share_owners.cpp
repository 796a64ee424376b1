#include "coordination/share_owners.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

std::vector<host_id> share_owners(const workspace_id& workspace, std::vector<share_member> members,
                                  std::size_t count)
{
    struct ranked_member
    {
        std::size_t domain_rank = 0;
        std::uint64_t weight;
        share_member member;
    };
    std::vector<ranked_member> ranking;
    for (auto& it : members)
    {
        auto weight = rendezvous_weight(workspace.str(), it.host.str());
        ranking.push_back({.weight = weight, .member = std::move(it)});
    }
    auto ranks_before = [](const ranked_member& a, const ranked_member& b)
    {
        return std::tie(a.domain_rank, b.weight, a.member.host) <
               std::tie(b.domain_rank, a.weight, b.member.host);
    };
    std::sort(ranking.begin(), ranking.end(), ranks_before);
    std::map<domain_id, std::size_t> domain_counts;
    for (auto& it : ranking)
    {
        it.domain_rank = domain_counts[it.member.domain]++;
    }
    std::sort(ranking.begin(), ranking.end(), ranks_before);
    std::vector<host_id> owners;
    for (std::size_t n = 0; n < std::min(count, ranking.size()); ++n)
    {
        owners.push_back(ranking[n].member.host);
    }
    return owners;
}

} // namespace banyanshunt
