#pragma once

/// \file
/// Sends the demand of this host's requests to placers, and updates the dispatcher's table of
/// replicas from their responses.

#include <mutex>
#include <vector>

#include "coordination/host_list.hpp"
#include "coordination/replica_dispatcher.hpp"
#include "transport/placement_rpc.hpp"

namespace banyanshunt
{

/// The host that sends the demand, and its timing.
struct placement_client_options
{
    host_id host;
    domain_id domain;
    milliseconds timeout{500};
    /// Pause between two rounds while there is demand, and while there is none.
    milliseconds busy_interval{50};
    milliseconds idle_interval{200};
};

/// One thread calls `step`.
class placement_client
{
public:
    placement_client(peer_channels& channels, replica_dispatcher& dispatcher,
                     placement_client_options options)
        : channels_(channels), dispatcher_(dispatcher), options_(std::move(options))
    {
    }

    /// Replaces the list of hosts known to the platform. The placer on this host is tried first,
    /// then those of its domain.
    void set_hosts(const std::vector<listed_host>& hosts);

    /// Sends the demand to the first placer that responds, and hands the replicas in its response
    /// to the dispatcher. Returns the pause until the next call.
    milliseconds step();

private:
    verdict<placement_response> request(const std::string& placer,
                                        std::vector<replica_demand> needs);
    void handle_response(const placement_response& response);

    peer_channels& channels_;
    replica_dispatcher& dispatcher_;
    placement_client_options options_;
    std::mutex mutex_;
    /// Addresses: this host, then its domain, then the others.
    std::vector<std::string> placers_;
    std::string last_placer_;
    std::int64_t known_version_ = 0;
    std::vector<placed_server> servers_;
};

/// Lists the ready replicas of all servers, from which requests choose.
replica_table ready_replicas(const std::vector<placed_server>& servers,
                             const domain_id& own_domain);

} // namespace banyanshunt
