#pragma once

/// \file
/// The bounded queue of requests that wait for a replica. It is fair over workspaces by start-time
/// fair queueing: the next request is one of the workspace that has been served the least, by cost,
/// since it began to wait. Pure: it uses no threads, and time only as an argument.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/replica_choice.hpp"
#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// A waiting request.
struct waiting_request
{
    /// Assigned by the code that pushes the request; unique within the queue.
    std::uint64_t number = 0;
    replica_filter filter;
    workspace_id workspace;
    key_id key;
    millitokens cost;
    instant deadline;
};

/// Holds at most `capacity` requests.
class waiting_queue
{
public:
    explicit waiting_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Appends the request to its workspace's lane; returns false if the queue's capacity or the
    /// workspace's share of it is exhausted.
    bool push(const waiting_request& it);
    /// Removes the request, if it is in the queue.
    std::optional<waiting_request> remove(std::uint64_t number);

    /// Removes the next request in fair order for which `permit` returns true, and charges its cost
    /// to its workspace. Within a workspace the oldest comes first.
    template <class Permit>
    std::optional<waiting_request> take_next(const Permit& permit)
    {
        for (const auto& workspace : fair_order())
        {
            auto& requests = lanes_.at(workspace).requests;
            for (auto it = requests.begin(); it != requests.end(); ++it)
            {
                if (permit(*it))
                {
                    waiting_request removed = *it;
                    requests.erase(it);
                    charge(removed);
                    return removed;
                }
            }
        }
        return std::nullopt;
    }

    /// Removes and returns all requests for which `predicate` returns true.
    template <class Predicate>
    std::vector<waiting_request> extract_if(const Predicate& predicate)
    {
        std::vector<waiting_request> removed;
        for (auto& lane : lanes_)
        {
            std::erase_if(lane.second.requests,
                          [&](const waiting_request& it)
                          {
                              bool matches = predicate(it);
                              if (matches)
                              {
                                  removed.push_back(it);
                              }
                              return matches;
                          });
        }
        size_ -= removed.size();
        erase_idle_lanes();
        return removed;
    }

    /// Calls `visit` with each waiting request.
    template <class Visitor>
    void for_each(const Visitor& visit) const
    {
        for (const auto& lane : lanes_)
        {
            for (const auto& it : lane.second.requests)
            {
                visit(it);
            }
        }
    }

    std::size_t size() const { return size_; }
    std::size_t waiting_count(const workspace_id& workspace) const;
    /// How many workspaces have a request waiting.
    std::size_t workspace_count() const;

private:
    struct workspace_lane
    {
        std::deque<waiting_request> requests;
        /// The lane's virtual time: cost served so far, on the scale that all lanes share.
        millitokens served;
    };

    std::vector<workspace_id> fair_order() const;
    void charge(const waiting_request& removed);
    void erase_idle_lanes();

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::map<workspace_id, workspace_lane> lanes_;
    /// The queue's virtual time, on the scale of `served`, when the last request was removed; a
    /// workspace that becomes active again starts from here.
    millitokens virtual_time_;
};

} // namespace banyanshunt
