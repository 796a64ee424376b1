#pragma once

/// \file
/// Defines the cell that holds the state in force on this host. One duty writes it, all read it.

#include <atomic>

#include "state/fleet_state.hpp"
#include "state/invariant.hpp"

namespace banyanshunt
{

/// Holds the newest state; reading costs one shared pointer.
class state_cell
{
public:
    /// Never null; an unknown state before the first `replace`.
    fleet_state_ptr get() const { return state_.load(); }

    /// Puts `next` in force. A state never reverts: `next` must reflect at least the old prefix.
    void replace(fleet_state_ptr next)
    {
        check_invariant(next->through >= state_.load()->through, "the state went back");
        state_.store(std::move(next));
    }

private:
    std::atomic<fleet_state_ptr> state_{std::make_shared<const fleet_state>()};
};

} // namespace banyanshunt
