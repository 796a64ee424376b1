#pragma once

/// \file
/// Defines the serving configuration: the routes, services, workspaces and limits in force on an
/// entry host. A configuration is built whole, never changed, and shared.

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

/// What may be done again with a request of a route.
enum class request_kind
{
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    once,
    /// Answered by a stream of events; runs at most once unless the route can be resumed.
    stream,
};

/// One of the services that a route's requests are divided over.
struct weighted_service
{
    service_id service;
    int weight = 1;
};

/// Where requests for one host and path prefix go.
struct serving_route
{
    route_id name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::once;
    /// The longest that a request may be kept without its final answer.
    milliseconds timeout{30000};
    /// Within this time an answer, or a stream's first event, is on time; 0 if not stated.
    milliseconds objective{0};
    /// The longest pause between a stream's events that is still on time; 0 if not stated.
    milliseconds event_gap{0};
    /// Rank among requests that wait; 0 is the most urgent.
    int priority = 5;
    std::vector<weighted_service> services;
    /// On how many servers one request may run.
    int max_attempts = 1;
    /// Needs no key.
    bool open_to_all = false;
    /// An answer's stream may be continued by another server.
    bool resumable = false;
};

/// A model that a service's engines can hold.
struct model_spec
{
    model_id id;
    double weights_mb = 0;
    double adapter_mb = 0;
    int adapters = 0;
    /// Load times by where the checkpoint lies.
    milliseconds load_from_store{0};
    milliseconds load_from_disk{0};
    milliseconds load_from_memory{0};
};

/// What all model engines of one service share.
struct engine_spec
{
    std::map<model_id, model_spec> models;
    /// Memory of one server for weights and adapters.
    double memory_mb = 0;
    int adapter_slots = 0;
    /// Bound on loads from the weight store over all servers, a second.
    double store_loads_per_s = 0;
};

struct service_spec
{
    service_id name;
    std::string health_path;
    /// Connections that one server accepts from all callers together.
    int max_connections = 100;
    std::optional<engine_spec> engine;
};

struct workspace_spec
{
    workspace_id name;
    std::optional<int> priority;
    /// Whether the rate counts tokens rather than requests.
    bool counts_tokens = false;
    /// What a request counts that states no tokens.
    std::int64_t default_tokens = 1;
    /// A second, over all entry hosts; 0 is no limit.
    double rate = 0;
    double burst = 0;
};

/// What a caller may send, and how long it may take or stay idle.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// Everything in force, as of one version.
class serving_config
{
public:
    std::int64_t version = 0;
    std::vector<serving_route> routes;
    std::map<service_id, service_spec> services;
    std::map<workspace_id, workspace_spec> workspaces;
    std::unordered_map<std::string, workspace_id> key_owner;
    caller_limits limits;

    /// Builds the index that `find_route` uses; call once when the fields are complete.
    void build_index();
    /// The route with the longest prefix of `path` among those of `host`, or null.
    const serving_route* find_route(const std::string& host, const std::string& path) const;
    const service_spec* find_service(const service_id& service) const;

private:
    std::unordered_map<std::string, std::size_t> by_prefix_;
};

using serving_config_ptr = std::shared_ptr<const serving_config>;

} // namespace banyanshunt
