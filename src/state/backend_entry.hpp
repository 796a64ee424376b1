#pragma once

/// \file
/// Defines what a backend server tells of itself through the platform's server registry.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/ids.hpp"
#include "state/serving_config.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// An IP address and port, as "10.1.0.2:8080".
using endpoint_text = strong_text<struct endpoint_text_tag>;

/// The models that an engine holds, each with its adapters.
using loaded_models = std::map<model_id, std::set<adapter_id>>;

/// One backend server's own description of itself.
struct backend_entry
{
    server_id id;
    service_id service;
    endpoint_text address;
    domain_id domain;
    /// Requests that it runs at once.
    int slots = 1;
    /// It takes no new work, and ends soon.
    bool draining = false;
    /// When it started, by its own clock; tells one life from the next under the same id.
    std::int64_t start_time_ms = 0;
    /// Counts what it has told of itself in this life.
    std::int64_t sequence = 0;
    /// How much longer it is slow after its start.
    milliseconds warmup_left{0};
    loaded_models models;
    /// Checkpoints that load fast because they lie in the server's memory or on its disk.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;

    friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

} // namespace banyanshunt
