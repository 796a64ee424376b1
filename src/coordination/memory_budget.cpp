#include "coordination/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace banyanshunt
{

bool memory_budget::reserve(const workspace_id& workspace, std::size_t bytes, std::size_t already)
{
    std::size_t& own = by_workspace_[workspace];
    double fraction = workspace.empty() ? max_unknown_fraction : max_workspace_fraction;
    bool shared = short_ || held_ != own;
    auto own_limit =
        shared ? static_cast<std::size_t>(fraction * static_cast<double>(total_)) : total_;
    bool alone = held_ == already;
    bool fits = held_ + bytes <= total_ && own + bytes <= own_limit;
    if (!alone && !fits)
    {
        short_ = true;
        return false;
    }
    own += bytes;
    held_ += bytes;
    return true;
}

void memory_budget::release(const workspace_id& workspace, std::size_t bytes)
{
    auto it = by_workspace_.find(workspace);
    if (it == by_workspace_.end())
    {
        return;
    }
    bytes = std::min(bytes, it->second);
    it->second -= bytes;
    held_ -= bytes;
    if (it->second == 0)
    {
        by_workspace_.erase(it);
    }
}

bool memory_budget::end_shortage()
{
    bool ends =
        short_ && static_cast<double>(held_) <= relief_fraction * static_cast<double>(total_);
    short_ = short_ && !ends;
    shortage_taken_ = shortage_taken_ && !ends;
    return ends;
}

memory_reservation::memory_reservation(std::shared_ptr<memory_budget> budget,
                                       workspace_id workspace)
    : budget_(std::move(budget)), workspace_(std::move(workspace))
{
}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = std::move(other.budget_);
        workspace_ = std::move(other.workspace_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool memory_reservation::grow_to(std::size_t bytes)
{
    if (!budget_ || bytes <= bytes_)
    {
        return true;
    }
    if (!budget_->reserve(workspace_, bytes - bytes_, bytes_))
    {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void memory_reservation::release()
{
    if (budget_ && bytes_ > 0)
    {
        budget_->release(workspace_, std::exchange(bytes_, 0));
    }
}

} // namespace banyanshunt
