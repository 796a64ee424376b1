#pragma once

/// \file
/// The dispatcher that keeps an entry host's view of the replicas and at which its requests wait
/// for one. It is a thread-safe shell around pure components: the waiting queue, the choice of a
/// replica and the health of servers.

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <vector>

#include "coordination/replica_choice.hpp"
#include "coordination/replica_demand.hpp"
#include "coordination/server_health.hpp"
#include "coordination/waiting_queue.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

struct replica_dispatcher_options
{
    std::size_t max_waiting = 512;
    replica_choice_options choice = {};
    server_health_options health = {};
    /// Seed of the random choices.
    std::uint64_t seed = 1;
};

/// A request for a replica, and how long it may wait.
struct dispatch_request
{
    replica_filter filter;
    workspace_id workspace;
    key_id key;
    millitokens cost;
    instant deadline;
    /// Whether the caller has disconnected; checked while the request waits.
    std::function<bool()> caller_disconnected = {};
    /// Called once if the request begins to wait.
    std::function<void()> on_wait = {};
};

/// Whether a key is still valid for a workspace.
using key_predicate = std::function<bool(const key_id&, const workspace_id&)>;

/// Thread-safe; at most `max_waiting` requests wait at once.
class replica_dispatcher
{
public:
    explicit replica_dispatcher(const replica_dispatcher_options& options);
    explicit replica_dispatcher(std::size_t max_waiting_requests)
        : replica_dispatcher(replica_dispatcher_options{.max_waiting = max_waiting_requests})
    {
    }

    /// Replaces the replica table and serves the waiting requests that can be served now.
    void set_replicas(replica_table table);

    /// Returns a replica now if there is one, or waits for it in fair order. The caller must then
    /// call `release` once. Fails with `not_run`: at once with `errc::queue_full`, or with
    /// `errc::deadline` if the wait would be too long; later with `errc::deadline`,
    /// `errc::key_refused` or `errc::cancelled`.
    verdict<ready_replica> acquire(const dispatch_request& request);

    /// Releases the slot that was held since `since`, and records the request's outcome.
    void release(const ready_replica& replica, instant since, server_outcome outcome);

    /// Refuses the waiting requests whose key is withdrawn or whose caller has disconnected, and
    /// sets which servers are draining. To be called several times a second.
    void sweep(const key_predicate& key_valid, std::set<server_id> draining);

    /// Refuses the waiting requests whose model is expected to be ready only after their deadline.
    void reject_unmeetable(const std::map<model_id, instant>& ready_at);

    /// The replicas that requests wait for now.
    std::vector<replica_demand> demands() const;
    std::size_t waiting() const;
    /// Requests of this host that hold a slot of the server.
    int in_flight(const server_id& server) const;

private:
    /// One waiting thread, and the result of its wait.
    struct waiter
    {
        std::condition_variable completed;
        std::optional<verdict<ready_replica>> result;
        const dispatch_request* request = nullptr;
    };

    std::optional<failure> refuse_on_arrival(const dispatch_request& request, instant now) const;
    std::optional<ready_replica> choose(const replica_filter& filter, instant now);
    int load_of(const ready_replica& replica) const;
    void serve_waiting(instant now);
    void complete(std::uint64_t number, verdict<ready_replica> with);
    void record_hold_time(const model_id& model, std::chrono::nanoseconds held);

    replica_dispatcher_options options_;
    mutable std::mutex mutex_;
    replica_table table_;
    std::set<server_id> draining_;
    /// Own requests that hold a slot, now and when the last report was received.
    std::map<server_id, int> in_flight_;
    std::map<server_id, int> in_flight_at_report_;
    waiting_queue queue_;
    std::map<std::uint64_t, waiter*> waiters_;
    std::uint64_t next_number_ = 0;
    server_health health_;
    std::map<model_id, std::chrono::nanoseconds> hold_times_;
    std::mt19937_64 random_;
};

} // namespace banyanshunt
