#include "state/state_cell.hpp"

#include "state/invariant.hpp"

namespace banyanshunt
{

bool state_cell::advance(fleet_state_ptr next)
{
    std::vector<std::function<void()>> listeners;
    {
        std::lock_guard lock(mutex_);
        if (next->next_offset <= state_.load()->next_offset)
        {
            return false;
        }
        state_.store(std::move(next));
        listeners = listeners_;
    }
    changed_.notify_all();
    for (const auto& listener : listeners)
    {
        listener();
    }
    return true;
}

void state_cell::replace(fleet_state_ptr next)
{
    check_invariant(next->next_offset >= get()->next_offset,
                    "a replacement state reflects a shorter prefix than the current state");
    (void)advance(std::move(next));
}

fleet_state_ptr state_cell::wait_beyond(log_offset seen, milliseconds timeout) const
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [&] { return get()->next_offset > seen; });
    return get();
}

void state_cell::on_change(std::function<void()> listener)
{
    std::lock_guard lock(mutex_);
    listeners_.push_back(std::move(listener));
}

} // namespace banyanshunt
