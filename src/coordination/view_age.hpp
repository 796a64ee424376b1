#pragma once

/// \file
/// The age of a host's view of the ticket stream: the time since the view was last known to reflect
/// everything in the log.

#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

/// Keeps the latest instant at which the view was confirmed, on this machine's clock.
class view_age
{
public:
    /// The log, queried at `requested_at`, contained nothing beyond the view.
    void confirmed_by_log(instant requested_at) { advance_to(requested_at); }

    /// A peer, queried at `requested_at`, reported that its view was confirmed `age` before its
    /// response, and this host's view reflects at least as much.
    void confirmed_by_peer(instant requested_at, milliseconds age)
    {
        advance_to(requested_at - age);
    }

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
    void advance_to(instant confirmed_at)
    {
        if (!confirmed_ || *confirmed_ < confirmed_at)
        {
            confirmed_ = confirmed_at;
        }
    }

    std::optional<instant> confirmed_;
};

} // namespace banyanshunt
