#pragma once

/// \file
/// An entry host's view of the loaded replicas.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/ids.hpp"

namespace banyanshunt
{

/// A replica that can take requests now, as last reported.
struct ready_replica
{
    server_id server;
    std::string address;
    model_id model;
    version_id version;
    std::set<adapter_id> adapters;
    /// Requests that this host has in flight on the server, plus the last reported load.
    int load = 0;
    /// The server is in the request's own failure domain.
    bool same_domain = false;
    bool leaving = false;
};

/// All ready replicas that a host knows at one time.
struct replica_table
{
    std::vector<ready_replica> replicas;
};

} // namespace banyanshunt
