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
        to.served = std::max(to.served, reading_);
    }
    to.requests.push_back(it);
    ++size_;
    return true;
}

std::optional<waiting_request> waiting_queue::remove(std::uint64_t number)
{
    auto taken = extract_if([number](const waiting_request& it) { return it.number == number; });
    return taken.empty() ? std::nullopt : std::optional(taken.front());
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

void waiting_queue::charge(const waiting_request& taken)
{
    --size_;
    workspace_lane& from = lanes_.at(taken.workspace);
    reading_ = std::max(reading_, from.served);
    from.served += taken.cost;
    forget_idle_lanes();
}

// What an idle workspace was served before the others' reading no longer counts.
void waiting_queue::forget_idle_lanes()
{
    std::erase_if(lanes_, [this](const auto& lane)
                  { return lane.second.requests.empty() && lane.second.served <= reading_; });
}

} // namespace banyanshunt
