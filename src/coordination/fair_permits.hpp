#pragma once

/// \file
/// Defines the dynamic threshold by which workspaces share a bounded number of places, because a
/// workspace that sends several times its rate must not fill them and have the others refused.

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Whether one more place may go to a workspace that holds `own` of the `accepted` places: it may
/// not hold more than are free. However many workspaces press, some places stay free for the
/// others.
constexpr bool may_acquire_permit(std::size_t own, std::size_t taken, std::size_t capacity)
{
    return taken < capacity && own < capacity - taken;
}

/// A bounded number of places that workspaces share by that threshold; safe from any thread.
class fair_permits
{
public:
    explicit fair_permits(std::size_t capacity) : capacity_(capacity) {}

    /// Holds one place until it is destroyed, at the latest when the places are.
    using permit = std::shared_ptr<void>;

    /// Returns a place for the workspace, or null.
    permit acquire(const workspace_id& workspace)
    {
        std::lock_guard lock(mutex_);
        std::size_t& own = taken_of_[workspace];
        if (!may_acquire_permit(own, taken_, capacity_))
        {
            return nullptr;
        }
        ++own;
        ++taken_;
        return {this, [workspace](fair_permits* places) { places->give_back(workspace); }};
    }

private:
    void give_back(const workspace_id& workspace)
    {
        std::lock_guard lock(mutex_);
        --taken_;
        if (--taken_of_[workspace] == 0)
        {
            taken_of_.erase(workspace);
        }
    }

    std::size_t capacity_;
    std::mutex mutex_;
    std::size_t taken_ = 0;
    std::map<workspace_id, std::size_t> taken_of_;
};

} // namespace banyanshunt
