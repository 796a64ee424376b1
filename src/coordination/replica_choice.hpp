#pragma once

/// \file
/// The choice of a replica for a request. Requests with the same prompt prefix go to the same
/// replica, whose engine then has the prefix cached, as long as that replica's load is near the
/// mean; otherwise they are spread at random. Pure: the host's replica table and a random source
/// are arguments.

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/random_source.hpp"
#include "coordination/replica_table.hpp"

namespace banyanshunt
{

/// Which replicas can serve a request, and which are preferred.
struct replica_filter
{
    model_id model;
    /// Empty when the base model is requested.
    adapter_id adapter;
    /// The prompt prefix by which requests are grouped for affinity.
    std::string prefix;
    /// Servers that have refused the request; they are tried again only when no other can serve it.
    std::set<server_id> refused_by;
};

struct replica_choice_options
{
    /// Concurrent requests per replica; further ones wait at this host, in fair order.
    int slots = 32;
    /// A replica whose load exceeds the mean times this factor, plus one, gets no affinity.
    double balance_factor = 1.25;
};

/// Returns the prefix of the prompt that counts for affinity.
std::string affinity_prefix(const std::string& prompt);

/// Whether the replica holds the requested model and adapter, and its server is not draining.
bool can_serve(const ready_replica& replica, const replica_filter& filter);

/// Returns the replicas with a free slot that may serve the request: those in the request's own
/// failure domain if there is one, and those that have not refused it if there is one.
std::vector<const ready_replica*> candidates(const replica_table& table,
                                             const replica_filter& filter,
                                             const replica_choice_options& options);

/// Returns the best candidate for the prefix whose load is within the bound, or null.
const ready_replica* preferred_replica(const std::vector<const ready_replica*>& from,
                                       const std::string& prefix,
                                       const replica_choice_options& options);

/// Returns the less loaded of two replicas drawn at random. Precondition: `from` is not empty.
template <random_source Random>
const ready_replica* least_loaded_of_two(const std::vector<const ready_replica*>& from,
                                         Random& random)
{
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    const ready_replica* a = from[any(random)];
    const ready_replica* b = from[any(random)];
    return b->load < a->load ? b : a;
}

/// Returns the replica to send the request to; nothing when none can take it now.
template <random_source Random>
std::optional<ready_replica> choose_replica(const replica_table& table,
                                            const replica_filter& filter,
                                            const replica_choice_options& options, Random& random)
{
    auto from = candidates(table, filter, options);
    if (from.empty())
    {
        return std::nullopt;
    }
    const ready_replica* it = preferred_replica(from, filter.prefix, options);
    return it ? *it : *least_loaded_of_two(from, random);
}

} // namespace banyanshunt
