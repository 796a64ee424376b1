#pragma once

/// \file
/// Defines the board on which an entry host keeps what it knows of replicas, and at which its
/// requests wait for one. It is the thread-safe shell around pure parts: the waiting queue, the
/// choice of a replica and the health of servers.

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
    /// Seed of the chance in choices.
    std::uint64_t seed = 1;
};

/// Who waits, and until when.
struct dispatch_request
{
    replica_filter filter;
    workspace_id workspace;
    key_id key;
    millitokens cost;
    instant deadline;
    /// Whether the caller is gone; asked while the request waits.
    std::function<bool()> caller_disconnected = {};
    /// Called once if the request begins to wait.
    std::function<void()> on_wait = {};
};

/// Whether a key still speaks for a workspace.
using key_predicate = std::function<bool(const key_id&, const workspace_id&)>;

/// Thread-safe; at most `max_waiting` requests wait at once.
class replica_dispatcher
{
public:
    explicit replica_dispatcher(const replica_dispatcher_options& options);
    explicit replica_dispatcher(std::size_t most_waiting)
        : replica_dispatcher(replica_dispatcher_options{.max_waiting = most_waiting})
    {
    }

    /// Puts newer knowledge up and serves whom it can.
    void set_replicas(replica_table table);

    /// Returns a replica now if there is one, or waits for it in fair order. The caller must then
    /// call `release` once. Fails with `not_run`: at once with `errc::queue_full`, or with
    /// `errc::deadline` if the wait would be too long; later with `errc::deadline`,
    /// `errc::key_refused` or `errc::cancelled`.
    verdict<ready_replica> acquire(const dispatch_request& wait);

    /// Gives back the slot that was held since `since`, and tells what came of it.
    void release(const ready_replica& replica, instant since, server_outcome outcome);

    /// Refuses those whose key is withdrawn or whose caller is gone, and takes over which servers
    /// are leaving. To be called several times a second.
    void sweep(const key_predicate& in_force, std::set<server_id> leaving);

    /// Refuses those whose model is expected to be ready only after their deadline.
    void reject_unmeetable(const std::map<model_id, instant>& ready_at);

    /// What is waited for now.
    std::vector<replica_demand> demands() const;
    std::size_t waiting() const;
    /// Requests of this host that hold a slot of the server.
    int in_flight(const server_id& server) const;

private:
    /// One waiting thread, and what its wait came to.
    struct waiter
    {
        std::condition_variable answered;
        std::optional<verdict<ready_replica>> answer;
        const dispatch_request* wait = nullptr;
    };

    std::optional<failure> refuse_at_door(const dispatch_request& wait, instant now) const;
    std::optional<ready_replica> choose(const replica_filter& filter, instant now);
    int load_of(const ready_replica& replica) const;
    void serve_waiting(instant now);
    void answer(std::uint64_t number, verdict<ready_replica> with);
    void note_hold(const model_id& model, std::chrono::nanoseconds held);

    replica_dispatcher_options options_;
    mutable std::mutex mutex_;
    replica_table table_;
    std::set<server_id> leaving_;
    /// Own requests that hold a slot, now and when the last report came.
    std::map<server_id, int> in_flight_;
    std::map<server_id, int> at_report_;
    waiting_queue queue_;
    std::map<std::uint64_t, waiter*> waiters_;
    std::uint64_t next_number_ = 0;
    server_health health_;
    std::map<model_id, std::chrono::nanoseconds> holds_;
    std::mt19937_64 random_;
};

} // namespace banyanshunt
