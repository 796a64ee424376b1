#pragma once

/// \file
/// Defines the duty that tells placers what this host's requests need, and keeps the board of
/// replicas current from their answers.

#include <mutex>
#include <vector>

#include "coordination/host_list.hpp"
#include "coordination/replica_dispatcher.hpp"
#include "transport/placement_rpc.hpp"

namespace banyanshunt
{

/// Who asks, for the demand and for nearness.
struct placement_client_options
{
    host_id host;
    domain_id domain;
    milliseconds timeout{500};
    /// Between two rounds while something is needed, and otherwise.
    milliseconds busy_interval{50};
    milliseconds idle_interval{200};
};

/// One thread calls `kind`.
class placement_client
{
public:
    placement_client(peer_channels& channels, replica_dispatcher& board,
                     placement_client_options options)
        : channels_(channels), board_(board), options_(std::move(options))
    {
    }

    /// The hosts known to the platform, replaced when the list changes. The placer of this host is
    /// asked first, then those of its domain.
    void set_hosts(const std::vector<listed_host>& hosts);

    /// Asks the first placer that answers, and puts what servers hold on the board. Returns how
    /// long to pause.
    milliseconds step();

private:
    verdict<placement_response> ask(const std::string& placer, std::vector<replica_demand> needs);
    void take(const placement_response& answer);

    peer_channels& channels_;
    replica_dispatcher& board_;
    placement_client_options options_;
    std::mutex mutex_;
    /// Addresses, the nearest first.
    std::vector<std::string> placers_;
    std::string asked_last_;
    std::int64_t known_ = 0;
    std::vector<placed_server> servers_;
};

/// Turns servers' holdings into the table that requests choose from.
replica_table ready_replicas(const std::vector<placed_server>& servers, const domain_id& near);

} // namespace banyanshunt
