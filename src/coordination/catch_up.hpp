#pragma once

/// \file
/// What a host does that hears from its peers of records of a topic that it has not read.
///
/// Made for a store whose waiting reads may miss a record that is appended as they arrive: what a
/// host that reads for itself hears from one that has read further needs no call to the store while
/// nothing is missed.

#include <concepts>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct catch_up_options
{
    /// Within this time records usually arrive by themselves.
    milliseconds grace{100};
    /// Between two reads.
    milliseconds period{400};
};

/// `Mark` is how far a host has come: the offset before which it has read everything, or the
/// version that it has in force.
template <std::totally_ordered Mark = log_offset>
class catch_up
{
public:
    explicit catch_up(const catch_up_options& options = {}) : options_(options) {}

    /// Whether this host, which has come to `position`, reads the topic now because a peer has come
    /// to `end`.
    bool reads_now(Mark end, Mark position, instant now)
    {
        if (end <= position)
        {
            return false;
        }
        if (!is_behind_ || position != position_)
        {
            is_behind_ = true;
            position_ = position;
            due_at_ = now + options_.grace;
        }
        if (now < due_at_)
        {
            return false;
        }
        due_at_ = now + options_.period;
        return true;
    }

private:
    catch_up_options options_;
    /// A peer has read beyond `position_`, where this host stands.
    bool is_behind_ = false;
    Mark position_{};
    instant due_at_;
};

} // namespace banyanshunt
