#pragma once

/// \file
/// Defines how a placer passes demands on and learns what other servers hold. It asks the holder of
/// its own domain's leases, who asks the holders of the other domains; while that holder cannot be
/// reached, or is this placer, it asks the other domains itself.

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
    /// How long a domain that did not answer is left alone.
    milliseconds retry_delay{1000};
    /// Between two rounds while something is needed.
    milliseconds busy_interval{50};
    /// Between two rounds otherwise, for each placer of the domain: the holder answers all of
    /// them, and this keeps its traffic the same however many they are.
    milliseconds idle_interval{20};
    milliseconds min_idle_interval{200};
};

/// One thread calls `kind`.
class demand_relay
{
public:
    demand_relay(peer_channels& channels, const demand_table& demands, placement_table& board,
                 demand_relay_options options)
        : channels_(channels), demands_(demands), board_(board), options_(std::move(options))
    {
    }

    /// The listed placers, replaced when the host list changes. Safe from any thread.
    void set_hosts(const std::vector<listed_host>& hosts);

    /// Does one round; `lease_holder` has the leases of the own domain. Returns how long to pause.
    milliseconds step(const std::optional<host_id>& holder);

private:
    /// What is known of one domain's placers.
    struct domain_peers
    {
        std::map<host_id, std::string> addresses;
        /// The one that said it holds the leases, or was said to.
        std::optional<host_id> holder;
        /// Which to ask while no holder is known.
        std::size_t next = 0;
        instant ask_again_at;
    };

    bool ask_holder(domain_peers& own, const host_id& holder);
    void ask_domain(const domain_id& domain, domain_peers& peers);
    verdict<placement_response> ask(const std::string& address, demand_hop reach,
                                    std::vector<replica_demand> needs);

    peer_channels& channels_;
    const demand_table& demands_;
    placement_table& board_;
    demand_relay_options options_;
    std::mutex mutex_;
    std::map<domain_id, domain_peers> domains_;
    /// The version last got from each placer, by address.
    std::map<std::string, std::int64_t> known_;
};

} // namespace banyanshunt
