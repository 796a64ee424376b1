#pragma once

/// \file
/// What a host does that hears from its peers of records of a topic that it has not read.
///
/// Made for a store whose waiting reads may miss a record that is appended as they arrive: what a
/// host that reads for itself hears from one that has read further needs no call to the store while
/// nothing is missed.

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

class catch_up
{
public:
    explicit catch_up(const catch_up_options& options = {}) : options_(options) {}

    /// Whether this host, which has read everything before `position`, reads the topic now because
    /// a peer has read everything before `end`.
    bool reads_now(log_offset end, log_offset position, instant now)
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
    log_offset position_;
    instant due_at_;
};

} // namespace banyanshunt
