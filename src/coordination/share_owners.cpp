#include "coordination/share_owners.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{

std::vector<host_id> share_owners(const workspace_id& workspace, std::vector<share_member> members,
                                  std::size_t parts)
{
    struct ranked
    {
        std::size_t row = 0;
        std::uint64_t weight;
        share_member member;
    };
    std::vector<ranked> order;
    for (auto& it : members)
    {
        auto weight = rendezvous_weight(workspace.str(), it.host.str());
        order.push_back({.weight = weight, .member = std::move(it)});
    }
    auto heavier = [](const ranked& a, const ranked& b)
    { return std::tie(a.row, b.weight, a.member.host) < std::tie(b.row, a.weight, b.member.host); };
    std::sort(order.begin(), order.end(), heavier);
    std::map<domain_id, std::size_t> seen;
    for (auto& it : order)
    {
        it.row = seen[it.member.domain]++;
    }
    std::sort(order.begin(), order.end(), heavier);
    std::vector<host_id> homes;
    for (std::size_t n = 0; n < std::min(parts, order.size()); ++n)
    {
        homes.push_back(order[n].member.host);
    }
    return homes;
}

} // namespace banyanshunt
