#pragma once

/// \file
/// Defines how entry hosts and placers tell each other what they need and what servers hold, over
/// gRPC.
///
/// An entry host asks one placer, that of its own host if it is up. That placer asks the one that
/// holds the leases of its domain, and that one asks those of the other domains. So each host has
/// one conversation, and what has not changed is not sent again.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/model_engine.hpp"
#include "coordination/replica_demand.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// How far a demand has come.
enum class demand_hop
{
    from_entry,
    in_domain,
    from_domain,
};

/// The needs of one host.
struct demand
{
    host_id host;
    domain_id domain;
    std::vector<replica_demand> needs;
    demand_hop hop = demand_hop::from_entry;
    /// The version of the last answer that the sender has from this placer; 0 for none.
    std::int64_t known_version = 0;
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
    friend bool operator==(const placed_server&, const placed_server&) = default;
};

/// When a model should be ready in a domain, on the clock of whoever holds this.
struct expected_ready
{
    model_id model;
    domain_id domain;
    instant ready_at;
};

/// What a placer answers to a demand.
struct placement_response
{
    host_id placer;
    /// Who holds the leases of the placer's domain; empty when it knows of none.
    host_id lease_holder;
    std::int64_t version = 0;
    /// The servers are those of the version that the demand named, and left out.
    bool unchanged = false;
    std::vector<placed_server> servers;
    std::vector<expected_ready> expected;
};

/// Answers demands; called from several threads. Times in it are on this machine's clock.
using demand_handler = std::function<placement_response(const demand&)>;

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

/// Sends a demand to the placer at `address`. Times travel as time left.
verdict<placement_response> send_demand(peer_channels& channels, const std::string& address,
                                        const demand& it, instant now, milliseconds limit);

} // namespace banyanshunt
