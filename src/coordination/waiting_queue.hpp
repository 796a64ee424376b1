#pragma once

/// \file
/// Defines the bounded queue of requests that wait for a replica. It is fair over workspaces by
/// start-time fair queueing: the next request is one of the workspace that has been served the
/// least, by cost, since it began to wait. Pure: it knows no thread, and time only as an argument.

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

/// A request that waits.
struct waiting_request
{
    /// Given by whoever puts it in the queue; unique within it.
    std::uint64_t number = 0;
    replica_filter filter;
    workspace_id workspace;
    key_id key;
    millitokens cost;
    instant deadline;
};

/// At most `capacity` requests.
class waiting_queue
{
public:
    explicit waiting_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Puts the request at its workspace's end; returns false when there is no place for it.
    bool push(const waiting_request& it);
    /// Takes out the request, if it waits.
    std::optional<waiting_request> remove(std::uint64_t number);

    /// Takes the next request in fair order for which `permit` returns true, and counts its cost
    /// for its workspace. Within a workspace the oldest comes first.
    template <class Place>
    std::optional<waiting_request> take_next(const Place& place)
    {
        for (const auto& workspace : fair_order())
        {
            auto& requests = lanes_.at(workspace).requests;
            for (auto it = requests.begin(); it != requests.end(); ++it)
            {
                if (place(*it))
                {
                    waiting_request taken = *it;
                    requests.erase(it);
                    charge(taken);
                    return taken;
                }
            }
        }
        return std::nullopt;
    }

    /// Takes out all requests for which `leaves` returns true.
    template <class Leaves>
    std::vector<waiting_request> extract_if(const Leaves& leaves)
    {
        std::vector<waiting_request> taken;
        for (auto& lane : lanes_)
        {
            std::erase_if(lane.second.requests,
                          [&](const waiting_request& it)
                          {
                              bool out = leaves(it);
                              if (out)
                              {
                                  taken.push_back(it);
                              }
                              return out;
                          });
        }
        size_ -= taken.size();
        forget_idle_lanes();
        return taken;
    }

    /// Calls `look` with each waiting request.
    template <class Look>
    void for_each(const Look& look) const
    {
        for (const auto& lane : lanes_)
        {
            for (const auto& it : lane.second.requests)
            {
                look(it);
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
        /// Cost served so far, on the queue's common scale.
        millitokens served;
    };

    std::vector<workspace_id> fair_order() const;
    void charge(const waiting_request& taken);
    void forget_idle_lanes();

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::map<workspace_id, workspace_lane> lanes_;
    /// The scale's reading at the last take; a workspace that comes back starts from here.
    millitokens reading_;
};

} // namespace banyanshunt
