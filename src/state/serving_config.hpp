#pragma once

/// \file
/// The serving configuration: the routes, services, workspaces and limits that an entry host
/// applies. A configuration is immutable and shared once it is built.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

using service_id = strong_text<struct service_id_tag>;

/// Whether and how a request of a route may be repeated.
enum class request_kind
{
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    once,
    /// The response is a stream of events. Runs at most once unless the route is resumable.
    stream,
};

/// One of the services over which a route's requests are distributed, with its weight.
struct weighted_service
{
    service_id service;
    int weight = 1;
};

/// The services and policy for requests to one host and path prefix.
struct serving_route
{
    route_id name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::once;
    /// The maximum time until the response to a request is complete.
    milliseconds timeout{30000};
    /// The latency objective for a response, or for a stream's first event; 0 if there is none.
    milliseconds objective{0};
    /// The objective for the longest gap between a stream's events; 0 if there is none.
    milliseconds event_gap{0};
    /// The priority among waiting requests; 0 is the highest.
    int priority = 5;
    std::vector<weighted_service> services;
    /// The maximum number of servers on which one request may run.
    int max_attempts = 1;
    /// Whether requests need no key.
    bool open_to_all = false;
    /// Whether another server may continue a response's stream.
    bool resumable = false;
};

/// A model that a service's engines can hold.
struct model_spec
{
    model_id id;
    double weights_mb = 0;
    double adapter_mb = 0;
    int adapters = 0;
    /// Load times by the location of the checkpoint.
    milliseconds load_from_store{0};
    milliseconds load_from_disk{0};
    milliseconds load_from_memory{0};
};

/// The properties that all model engines of one service have in common.
struct engine_spec
{
    std::map<model_id, model_spec> models;
    /// Memory of one server for weights and adapters.
    double memory_mb = 0;
    int adapter_slots = 0;
    /// Maximum rate of loads from the weight store over all servers, per second.
    double store_loads_per_s = 0;
};

struct service_spec
{
    service_id name;
    std::string health_path;
    /// The maximum number of connections that one server accepts in total.
    int max_connections = 100;
    /// Requests per second that a cold server of it takes; 0 if cold servers take as many as
    /// others.
    double cold_requests_per_s = 0;
    std::optional<engine_spec> engine;
};

struct workspace_spec
{
    workspace_id name;
    std::optional<int> priority;
    /// Whether the rate counts tokens rather than requests.
    bool counts_tokens = false;
    /// The tokens charged for a request that does not state its number of tokens.
    std::int64_t default_tokens = 1;
    /// Per second, over all entry hosts; 0 is no limit.
    double rate = 0;
    double burst = 0;
};

/// Limits on the size of callers' requests, on the time to send them, and on idle connections.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// An entry that repeats the name of an earlier one, which stays in effect, or a key of another
/// workspace.
struct repeated_entry
{
    enum class entry_kind
    {
        service,
        workspace,
        key,
    };
    entry_kind kind;
    std::string name;
    /// The workspace that lists the key a second time; empty for other kinds.
    workspace_id workspace;
};

/// One version of the serving configuration.
class serving_config
{
public:
    std::int64_t version = 0;
    std::vector<serving_route> routes;
    std::map<service_id, service_spec> services;
    std::map<workspace_id, workspace_spec> workspaces;
    std::unordered_map<std::string, workspace_id> key_owner;
    caller_limits limits;
    /// Entries that were dropped, in the order of the text.
    std::vector<repeated_entry> repeated;

    /// Builds the index that `find_route` uses; call once after all fields are set.
    void build_index();
    /// The route with the longest prefix of `path` among those of `host`, or null.
    const serving_route* find_route(const std::string& host, const std::string& path) const;
    const service_spec* find_service(const service_id& service) const;
    /// The workspace that the API key belongs to, or null.
    const workspace_spec* find_workspace(const std::string& api_key) const;

private:
    std::unordered_map<std::string, std::size_t> by_prefix_;
};

using serving_config_ptr = std::shared_ptr<const serving_config>;

} // namespace banyanshunt
