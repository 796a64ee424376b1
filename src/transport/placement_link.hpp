#pragma once

/// \file
/// Defines how entry hosts tell placers what they need, and what comes back, over gRPC.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/model_engine.hpp"
#include "coordination/replica_need.hpp"
#include "transport/peer_node.hpp"

namespace banyanshunt
{

/// The needs of one entry host.
struct demand
{
    host_id host;
    domain_id domain;
    std::vector<replica_need> needs;
};

/// A backend server under a placer's lease, with what it was last seen to hold.
struct placed_server
{
    server_id server;
    std::string address;
    domain_id domain;
    fencing_number fencing;
    bool leaving = false;
    std::vector<held_replica> replicas;
};

/// What a placer answers to a demand.
struct placement_answer
{
    host_id placer;
    std::vector<placed_server> servers;
};

/// Answers demands; called from several threads. Deadlines in it are on this machine's clock.
using demand_handler = std::function<placement_answer(const demand&)>;

/// The gRPC service of a placer.
class placement_service
{
public:
    explicit placement_service(demand_handler handler);
    ~placement_service();

    grpc::Service* service();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Sends a demand to the placer at `address`. Deadlines travel as time left.
verdict<placement_answer> send_demand(peer_channels& channels, const std::string& address,
                                      const demand& it, instant now, milliseconds limit);

} // namespace banyanshunt
