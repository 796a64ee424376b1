#pragma once

/// \file
/// The gRPC exchange by which entry hosts report their demand to placers, and placers report which
/// replicas the backend servers hold.
///
/// An entry host calls one placer, that of its own host if it is up. That placer calls the one that
/// holds the leases of its domain, and that one calls those of the other domains. So each entry
/// host talks to one placer, and unchanged data is not sent again.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/model_engine.hpp"
#include "coordination/replica_demand.hpp"
#include "transport/peer_rpc.hpp"

namespace banyanshunt
{

/// Which processes a demand has passed through.
enum class demand_hop
{
    from_entry,
    in_domain,
    from_domain,
};

/// The replicas that one host needs.
struct demand
{
    host_id host;
    domain_id domain;
    std::vector<replica_demand> needs;
    demand_hop hop = demand_hop::from_entry;
    /// The version of the last response that the sender received from this placer; 0 for none.
    std::int64_t known_version = 0;
};

/// A backend server under a placer's lease, with the replicas that it last reported.
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

/// When a model should be ready in a domain, on the local clock.
struct expected_ready
{
    model_id model;
    domain_id domain;
    instant ready_at;
};

/// A placer's response to a demand.
struct placement_response
{
    host_id placer;
    /// The holder of the leases of the placer's domain; empty if unknown.
    host_id lease_holder;
    std::int64_t version = 0;
    /// The servers are unchanged since the version that the demand named, and are omitted.
    bool unchanged = false;
    std::vector<placed_server> servers;
    std::vector<expected_ready> expected;
};

/// Handles demands; called from several threads. Times are on the local clock.
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

/// Sends a demand to the placer at `address`. Deadlines are sent as the time remaining, because
/// hosts share no clock.
verdict<placement_response> send_demand(peer_channels& channels, const std::string& address,
                                        const demand& it, instant now, milliseconds limit);

} // namespace banyanshunt
