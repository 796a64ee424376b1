#pragma once

/// \file
/// Defines the board on which an entry host keeps what it knows of replicas, and at which its
/// requests wait for one.

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

#include "coordination/replica_choice.hpp"
#include "coordination/replica_need.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Who waits, and until when.
struct replica_wait
{
    replica_filter filter;
    workspace_id workspace;
    instant deadline;
};

/// Thread-safe; at most `most_waiting` requests wait at once.
class replica_board
{
public:
    explicit replica_board(std::size_t most_waiting) : most_waiting_(most_waiting) {}

    /// Puts newer knowledge up and wakes all who wait for it.
    void replace(replica_table table);

    /// Returns a replica now if there is one, or waits for it. Fails with `errc::queue_full` at
    /// once, or with `errc::deadline` when none came in time.
    verdict<ready_replica> wait_for(const replica_wait& wait);

    /// What is waited for now.
    std::vector<replica_need> needs() const;

    /// Counts one more or less request of this host on a server, between reports.
    void add_in_flight(const server_id& server, int change);

private:
    std::optional<ready_replica> choose(const replica_filter& filter) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    replica_table table_;
    std::map<server_id, int> in_flight_;
    std::map<std::uint64_t, replica_wait> waiting_;
    std::uint64_t next_wait_ = 0;
    std::size_t most_waiting_;
};

} // namespace banyanshunt
