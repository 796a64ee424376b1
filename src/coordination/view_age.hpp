#pragma once

/// \file
/// Defines how old a host's view of the tickets' stream is: the time since it surely reflected
/// everything that was in the log.

#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Keeps the newest moment at which the view was confirmed, on this machine's clock.
class view_age
{
public:
    /// The log, asked at `requested`, showed nothing beyond the view.
    void confirmed_by_log(instant asked) { raise(asked); }

    /// A peer, asked at `requested`, told that its view was confirmed `state_age` before it
    /// answered, and this host's view reflects at least as much.
    void confirmed_by_peer(instant asked, milliseconds age) { raise(asked - age); }

    /// Nothing before the first confirmation.
    std::optional<milliseconds> at(instant now) const
    {
        if (!confirmed_)
        {
            return std::nullopt;
        }
        return std::chrono::ceil<milliseconds>(now - *confirmed_);
    }

private:
    void raise(instant moment)
    {
        if (!confirmed_ || *confirmed_ < moment)
        {
            confirmed_ = moment;
        }
    }

    std::optional<instant> confirmed_;
};

} // namespace banyanshunt
