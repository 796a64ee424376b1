#pragma once

/// \file
/// Defines the cell that holds the state in force on this host. The duties that follow the log and
/// the peers write it, all read it.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "state/fleet_state.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Holds the newest state; reading costs one shared pointer.
class state_cell
{
public:
    /// Never null; an unknown state before the first one came.
    fleet_state_ptr get() const { return state_.load(); }

    /// Puts `next` in force if it reflects more than the state in force, and returns whether it
    /// did. Each state is the exact result of its prefix, so the longer prefix is the newer state.
    bool advance(fleet_state_ptr next);

    /// Puts `next` in force where there is one writer only: it must reflect at least the old
    /// prefix.
    void replace(fleet_state_ptr next);

    /// Waits up to `timeout` until the state reflects more than the prefix up to `seen`; returns
    /// the state then in force either way.
    fleet_state_ptr wait_beyond(log_offset seen, milliseconds patience) const;

    /// Calls `listener` after every change from now on, on the thread that made it. Requests that
    /// wait are woken this way to check their key again. A listener is never removed.
    void on_change(std::function<void()> listener);

private:
    std::atomic<fleet_state_ptr> state_{std::make_shared<const fleet_state>()};
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::function<void()>> listeners_;
};

} // namespace banyanshunt
