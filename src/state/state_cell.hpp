#pragma once

/// \file
/// Holds the current state of this host. The subsystems that follow the log and the peers write it;
/// all others read it.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "state/fleet_state.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Holds the newest state. Thread-safe; a read costs one copy of a shared pointer.
class state_cell
{
public:
    /// Never null; an uninitialized state until the first one is stored.
    fleet_state_ptr get() const { return state_.load(); }

    /// Stores `next` if it reflects a longer prefix than the current state; returns whether it was
    /// stored. Each state is the exact result of its prefix, so the longer prefix is the newer
    /// state.
    bool advance(fleet_state_ptr next);

    /// Stores `next` where there is only one writer. It must reflect at least the prefix of the
    /// current state.
    void replace(fleet_state_ptr next);

    /// Waits up to `timeout` until the state reflects more than the prefix up to `seen`; returns
    /// the current state in either case.
    fleet_state_ptr wait_beyond(log_offset seen, milliseconds timeout) const;

    /// Calls `listener` after every later change, on the thread that made the change. This wakes
    /// waiting requests so that they recheck their keys. A listener is never removed.
    void on_change(std::function<void()> listener);

private:
    std::atomic<fleet_state_ptr> state_{std::make_shared<const fleet_state>()};
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::function<void()>> listeners_;
};

} // namespace banyanshunt
