#include "coordination/replica_choice.hpp"

#include <algorithm>
#include <array>

#include "coordination/rendezvous.hpp"

namespace banyanshunt
{
namespace
{

using replica_list = std::vector<const ready_replica*>;

// Keeps only the replicas that satisfy `wanted`, unless none does.
template <class Wanted>
void prefer(replica_list& from, const Wanted& wanted)
{
    if (std::any_of(from.begin(), from.end(), wanted))
    {
        std::erase_if(from, [&](const ready_replica* it) { return !wanted(it); });
    }
}

} // namespace

std::string affinity_prefix(const std::string& prompt)
{
    constexpr std::size_t max_length = 256;
    return prompt.substr(0, max_length);
}

bool can_serve(const ready_replica& replica, const replica_filter& filter)
{
    bool has_adapter = filter.adapter.empty() || replica.adapters.contains(filter.adapter);
    return !replica.leaving && replica.model == filter.model && has_adapter;
}

replica_list candidates(const replica_table& table, const replica_filter& filter,
                        const replica_choice_options& options)
{
    replica_list from;
    for (const auto& replica : table.replicas)
    {
        if (can_serve(replica, filter) && replica.load < options.slots)
        {
            from.push_back(&replica);
        }
    }
    prefer(from, [&](const ready_replica* it) { return !filter.refused_by.contains(it->server); });
    prefer(from, [](const ready_replica* it) { return it->same_domain; });
    return from;
}

const ready_replica* preferred_replica(const replica_list& from, const std::string& prefix,
                                       const replica_choice_options& options)
{
    double sum = 0;
    for (const auto* it : from)
    {
        sum += it->load;
    }
    double bound = sum / static_cast<double>(from.size()) * options.balance_factor + 1;
    // Only the first two are tried: further ones are unlikely to have the prefix cached.
    std::array<const ready_replica*, 2> best{};
    std::array<std::uint64_t, 2> weights{};
    for (const auto* it : from)
    {
        std::uint64_t weight = rendezvous_weight(prefix, it->server.str());
        if (!best[0] || weight > weights[0])
        {
            best[1] = best[0];
            weights[1] = weights[0];
            best[0] = it;
            weights[0] = weight;
        }
        else if (!best[1] || weight > weights[1])
        {
            best[1] = it;
            weights[1] = weight;
        }
    }
    for (const auto* it : best)
    {
        if (it && it->load <= bound)
        {
            return it;
        }
    }
    return nullptr;
}

} // namespace banyanshunt
