#pragma once

/// \file
/// Defines the duty that tells placers what this host's requests need, and keeps the board of
/// replicas current from their answers.

#include <map>

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

    /// The placers known to the platform, replaced when the host list changes.
    void set_placers(std::vector<std::string> addresses);

    /// Asks every placer once and puts what they hold on the board.
    void step();

private:
    void take(const placement_answer& answer, const std::string& from);

    struct known_server
    {
        placed_server placed;
        /// The placer that said so.
        std::string from;
    };

    peer_channels& channels_;
    replica_board& board_;
    placement_follower_options options_;
    std::mutex mutex_;
    std::vector<std::string> placers_;
    std::map<server_id, known_server> servers_;
};

/// Turns servers' holdings into the table that requests choose from.
replica_table ready_replicas(const std::vector<placed_server>& servers, const domain_id& near);

} // namespace banyanshunt
