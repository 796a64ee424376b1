#pragma once

/// \file
/// The dynamic threshold by which workspaces share a bounded number of permits, because a workspace
/// that sends several times its rate must not hold all of them and cause the others to be refused.

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

#include "state/ids.hpp"

namespace banyanshunt
{

/// Whether a workspace that holds `own` of the `in_use` permits may get one more: it may not hold
/// more than are free. However many workspaces compete, some permits stay free for the others.
constexpr bool may_acquire_permit(std::size_t own, std::size_t in_use, std::size_t capacity)
{
    return in_use < capacity && own < capacity - in_use;
}

/// A bounded number of permits that workspaces share by that threshold. Thread-safe.
class fair_permits
{
public:
    explicit fair_permits(std::size_t capacity) : capacity_(capacity) {}

    /// An acquired permit, released on destruction. Must not outlive the `fair_permits` object.
    using permit = std::shared_ptr<void>;

    /// Returns a permit for the workspace, or null.
    permit acquire(const workspace_id& workspace)
    {
        std::lock_guard lock(mutex_);
        std::size_t& own = in_use_by_workspace_[workspace];
        if (!may_acquire_permit(own, in_use_, capacity_))
        {
            return nullptr;
        }
        ++own;
        ++in_use_;
        return {this, [workspace](fair_permits* owner) { owner->release(workspace); }};
    }

private:
    void release(const workspace_id& workspace)
    {
        std::lock_guard lock(mutex_);
        --in_use_;
        if (--in_use_by_workspace_[workspace] == 0)
        {
            in_use_by_workspace_.erase(workspace);
        }
    }

    std::size_t capacity_;
    std::mutex mutex_;
    std::size_t in_use_ = 0;
    std::map<workspace_id, std::size_t> in_use_by_workspace_;
};

} // namespace banyanshunt
