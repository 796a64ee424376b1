#pragma once

/// \file
/// Defines the duty that tells placers what this host's requests need, and keeps the board of
/// replicas current from their answers.

#include <mutex>
#include <vector>

#include "coordination/host_list.hpp"
#include "coordination/replica_board.hpp"
#include "transport/placement_link.hpp"

namespace banyanshunt
{

/// Who asks, for the demand and for nearness.
struct placement_follower_options
{
    host_id host;
    domain_id domain;
    milliseconds patience{500};
    /// Between two rounds while something is needed, and otherwise.
    milliseconds busy_interval{50};
    milliseconds idle_interval{200};
};

/// One thread calls `step`.
class placement_follower
{
public:
    placement_follower(peer_channels& channels, replica_board& board,
                       placement_follower_options options)
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
    verdict<placement_answer> ask(const std::string& placer, std::vector<replica_need> needs);
    void take(const placement_answer& answer);

    peer_channels& channels_;
    replica_board& board_;
    placement_follower_options options_;
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
