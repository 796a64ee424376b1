#pragma once

/// \file
/// The objects that tickets create, replace and withdraw. Each ticket contains the complete new
/// state of every object that it changes, so an object is never patched.

#include <optional>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// A model that backend servers can load.
struct model_object
{
    version_id version;
    /// Memory that one loaded replica takes on a backend server.
    mebibytes memory;
    /// The maximum number of replicas over the complete fleet.
    int max_replicas = 1;
    /// The maximum number of tokens, prompt and completion together, that one request may use.
    std::int64_t max_tokens = 4096;
    friend bool operator==(const model_object&, const model_object&) = default;
};

/// An adapter that a replica of its base model can load beside it.
struct adapter_object
{
    model_id base;
    mebibytes memory;
    friend bool operator==(const adapter_object&, const adapter_object&) = default;
};

/// How a host serves a workspace while it receives nothing from the platform or any peer.
struct staleness_policy
{
    /// The age of the host's state from which requests are refused; nothing to never refuse them.
    std::optional<seconds> refuse_after;
    friend bool operator==(const staleness_policy&, const staleness_policy&) = default;
};

/// A tenant, with its rate and burst over the complete fleet.
struct workspace_object
{
    millitokens_per_second rate;
    millitokens burst;
    staleness_policy staleness;
    friend bool operator==(const workspace_object&, const workspace_object&) = default;
};

/// A caller's key. Only the salted hash of its secret is stored.
struct key_object
{
    workspace_id workspace;
    /// Hexadecimal salt, hashed before the secret.
    std::string salt;
    /// Hexadecimal SHA-256 of salt and secret.
    std::string hash;
    friend bool operator==(const key_object&, const key_object&) = default;
};

/// A path prefix that leads to plain services.
struct route_object
{
    /// The first segment of the request's path, such as "/work-orders".
    std::string prefix;
    /// Requests to an open route need no key.
    bool open = false;
    /// Whether a call may be retried after a failure in which it may have run.
    bool repeatable = false;
    /// The servers that serve the route, in no particular order.
    std::vector<server_id> servers;
    /// Tokens that one call costs the workspace.
    std::int64_t cost_tokens = 1;
    friend bool operator==(const route_object&, const route_object&) = default;
};

enum class server_kind
{
    engine,
    service,
};

/// A backend server.
struct server_object
{
    server_kind kind = server_kind::engine;
    domain_id domain;
    /// IP address and port, such as "127.0.0.1:9101".
    std::string address;
    /// Memory for replicas and adapters; zero for a plain service.
    mebibytes memory;
    /// Whether the engine refuses orders with an older fencing number.
    bool checks_fencing = false;
    /// Whether the server must get no new work.
    bool leaving = false;
    friend bool operator==(const server_object&, const server_object&) = default;
};

} // namespace banyanshunt
