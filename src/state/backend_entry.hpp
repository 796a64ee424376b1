#pragma once

/// \file
/// The entry of a backend server in the platform's server registry.

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

/// A backend server as described by its own registry entry.
struct backend_entry
{
    server_id id;
    service_id service;
    endpoint_text address;
    domain_id domain;
    /// The number of requests that it runs concurrently.
    int slots = 1;
    /// Whether it refuses new work because it is about to stop.
    bool draining = false;
    /// When it started, by its own clock; distinguishes incarnations with the same id.
    std::int64_t start_time_ms = 0;
    /// Counts the entries that it has published in this incarnation.
    std::int64_t sequence = 0;
    /// The remaining time for which it is slow after its start.
    milliseconds warmup_left{0};
    loaded_models models;
    /// Checkpoints that load fast because they are cached in the server's memory or on its disk.
    std::set<model_id> in_memory;
    std::set<model_id> on_disk;

    friend bool operator==(const backend_entry&, const backend_entry&) = default;
};

} // namespace banyanshunt
