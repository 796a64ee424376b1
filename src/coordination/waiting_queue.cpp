#include "coordination/waiting_queue.hpp"

#include <algorithm>

#include "coordination/fair_permits.hpp"

namespace banyanshunt
{

bool waiting_queue::push(const waiting_request& it)
{
    if (!may_acquire_permit(waiting_count(it.workspace), size_, capacity_))
    {
        return false;
    }
    workspace_lane& to = lanes_[it.workspace];
    if (to.requests.empty())
    {
        to.served = std::max(to.served, virtual_time_);
    }
    to.requests.push_back(it);
    ++size_;
    return true;
}

std::optional<waiting_request> waiting_queue::remove(std::uint64_t number)
{
    auto removed = extract_if([number](const waiting_request& it) { return it.number == number; });
    return removed.empty() ? std::nullopt : std::optional(removed.front());
}

std::size_t waiting_queue::waiting_count(const workspace_id& workspace) const
{
    auto it = lanes_.find(workspace);
    return it == lanes_.end() ? 0 : it->second.requests.size();
}

std::size_t waiting_queue::workspace_count() const
{
    return static_cast<std::size_t>(std::count_if(lanes_.begin(), lanes_.end(),
                                                  [](const auto& lane)
                                                  { return !lane.second.requests.empty(); }));
}

std::vector<workspace_id> waiting_queue::fair_order() const
{
    std::vector<workspace_id> order;
    for (const auto& [workspace, lane] : lanes_)
    {
        if (!lane.requests.empty())
        {
            order.push_back(workspace);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [this](const workspace_id& a, const workspace_id& b)
                     { return lanes_.at(a).served < lanes_.at(b).served; });
    return order;
}

void waiting_queue::charge(const waiting_request& removed)
{
    --size_;
    workspace_lane& from = lanes_.at(removed.workspace);
    virtual_time_ = std::max(virtual_time_, from.served);
    from.served += removed.cost;
    erase_idle_lanes();
}

// An idle lane behind the queue's virtual time would start from that time again, so its own no
// longer counts.
void waiting_queue::erase_idle_lanes()
{
    std::erase_if(lanes_, [this](const auto& lane)
                  { return lane.second.requests.empty() && lane.second.served <= virtual_time_; });
}

} // namespace banyanshunt
