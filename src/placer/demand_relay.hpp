#pragma once

/// \file
/// Relays demands between placers and receives the placement of other servers. A placer queries the
/// holder of its own domain's leases, which queries the holders of the other domains. While that
/// holder cannot be reached, or is this placer, the placer queries the other domains itself.

#include "coordination/host_list.hpp"
#include "placer/demand_table.hpp"
#include "placer/placement_table.hpp"

namespace banyanshunt
{

struct demand_relay_options
{
    host_id self;
    domain_id domain;
    milliseconds timeout{300};
    /// How long to wait before querying a placer or domain again that did not respond.
    milliseconds retry_delay{1000};
    /// The interval between rounds while there is any demand.
    milliseconds busy_interval{50};
    /// The interval between rounds otherwise, per placer of the domain: the holder responds to all
    /// of them, and the scaling keeps its traffic independent of their number.
    milliseconds idle_interval{20};
    milliseconds min_idle_interval{200};
};

/// One thread calls `step`.
class demand_relay
{
public:
    demand_relay(peer_channels& channels, const demand_table& demands, placement_table& placements,
                 demand_relay_options options)
        : channels_(channels), demands_(demands), placements_(placements),
          options_(std::move(options))
    {
    }

    /// Replaces the known placers with those of the host list. Safe from any thread.
    void set_hosts(const std::vector<listed_host>& hosts);

    /// Does one round; `holder` has the leases of the own domain. Returns the pause to the next
    /// round.
    milliseconds step(const std::optional<host_id>& holder);

private:
    /// The state of one domain's placers.
    struct domain_peers
    {
        std::map<host_id, std::string> addresses;
        /// The placer that was last reported to hold the domain's leases.
        std::optional<host_id> holder;
        /// The index of the placer to query while no holder is known.
        std::size_t next_index = 0;
        instant retry_at;
    };

    bool query_holder(domain_peers& own, const host_id& holder);
    void query_domain(const domain_id& domain, domain_peers& peers);
    verdict<placement_response> query(const std::string& address, demand_hop hop,
                                      std::vector<replica_demand> demands);

    peer_channels& channels_;
    const demand_table& demands_;
    placement_table& placements_;
    demand_relay_options options_;
    std::mutex mutex_;
    std::map<domain_id, domain_peers> domains_;
    /// The version last received from each placer, by address.
    std::map<std::string, std::int64_t> known_versions_;
};

} // namespace banyanshunt
