#pragma once

/// \file
/// The interface to a model engine: orders from the placer, reports to it, and completions for
/// callers.

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "state/ids.hpp"
#include "state/units.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
};

/// An order from the placer that holds the server's lease.
struct engine_order
{
    order_kind kind = order_kind::load_model;
    model_id model;
    version_id version;
    /// Empty for orders about a model.
    adapter_id adapter;
    mebibytes memory;
    /// Engines that check it refuse an order whose number is lower than the highest one received.
    fencing_number fencing;
};

/// Where a checkpoint is cached, fastest first.
enum class checkpoint_tier
{
    memory,
    disk,
    remote,
};

enum class replica_phase
{
    loading,
    ready,
    unloading,
};

/// A model on an engine, with its adapters.
struct held_replica
{
    model_id model;
    version_id version;
    replica_phase phase = replica_phase::loading;
    mebibytes memory;
    std::vector<adapter_id> adapters;
    std::vector<adapter_id> adapters_loading;
    /// The number of requests that currently run on it.
    int running = 0;
    friend bool operator==(const held_replica&, const held_replica&) = default;
};

/// A checkpoint cached on the engine's host.
struct cached_checkpoint
{
    model_id model;
    version_id version;
    checkpoint_tier tier = checkpoint_tier::remote;
};

/// The exact contents of an engine, read in one call.
struct engine_report
{
    /// Changes when the engine's process restarts.
    incarnation_id incarnation;
    mebibytes memory_total;
    mebibytes memory_used;
    /// The highest fencing number that the engine has received.
    fencing_number fencing;
    std::vector<held_replica> replicas;
    std::vector<cached_checkpoint> cached;
};

/// An engine's load, reported with a delay.
struct load_report
{
    int running = 0;
    int waiting = 0;
    /// How long ago the engine measured it.
    milliseconds age{0};
};

/// A request as sent to an engine; it carries no key and no workspace.
struct completion_request
{
    request_id id;
    model_id model;
    /// Empty for a request to the base model.
    adapter_id adapter;
    std::string prompt;
    std::int64_t max_tokens = 16;
    /// Smaller values are served first.
    int priority = 0;
};

/// One generated token with its zero-based position in the response.
struct stream_token
{
    request_id id;
    std::int64_t position = 0;
    std::string text;
};

/// How a response ended.
struct completion_end
{
    std::int64_t prompt_tokens = 0;
    std::int64_t completion_tokens = 0;
    /// "stop" or "length".
    std::string finish_reason;
};

/// Receives each token as it arrives; returns false to stop reading.
using token_sink = std::function<bool(const stream_token&)>;

/// A client of model engines, by address (IP and port).
///
/// `complete` and `resume` deliver tokens until the end, until no token arrives for `idle_timeout`,
/// or until the sink stops them. `resume` delivers from `position` on a new connection. The success
/// of `order` means only that the engine accepted the order; `read_back` reports its effect.
template <class T>
concept model_engine = requires(T& engine, const std::string& address,
                                const completion_request& request, const request_id& id,
                                std::int64_t position, const token_sink& sink,
                                milliseconds idle_timeout, const engine_order& order)
{
    {
        engine.complete(address, request, idle_timeout, sink)
        } -> std::same_as<verdict<completion_end>>;
    {
        engine.resume(address, id, position, idle_timeout, sink)
        } -> std::same_as<verdict<completion_end>>;
    {
        engine.cancel(address, id)
        } -> std::same_as<verdict<done>>;
    {
        engine.order(address, order)
        } -> std::same_as<verdict<done>>;
    {
        engine.read_back(address)
        } -> std::same_as<verdict<engine_report>>;
    {
        engine.fetch_load(address)
        } -> std::same_as<verdict<load_report>>;
};

} // namespace banyanshunt
