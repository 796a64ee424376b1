#pragma once

/// \file
/// What a host does that hears from its peers of records of a topic that it has not read.
///
/// Made for a store whose waiting reads may miss a record that is appended as they arrive, and for
/// readers of a failure domain that stop, freeze or are cut off around an append: what a host hears
/// from one that has read further needs no call to the store while nothing is missed.

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

enum class catch_up_step
{
    none,
    /// Request the view of the host that reads for this one.
    request_view,
    /// Read the topic now.
    read_topic,
};

struct catch_up_options
{
    /// Within this time records usually arrive by themselves.
    milliseconds grace{100};
    /// Between two steps.
    milliseconds period{400};
};

class catch_up
{
public:
    explicit catch_up(const catch_up_options& options = {}) : options_(options) {}

    /// A peer has read everything before `end`; this host everything before `position`.
    catch_up_step step(log_offset end, log_offset position, bool read_by_other, instant now)
    {
        if (end <= position)
        {
            return catch_up_step::none;
        }
        if (!is_behind_ || position != position_)
        {
            is_behind_ = true;
            position_ = position;
            steps_ = 0;
            due_at_ = now + options_.grace;
        }
        if (now < due_at_)
        {
            return catch_up_step::none;
        }
        due_at_ = now + options_.period;
        return steps_++ == 0 && read_by_other ? catch_up_step::request_view
                                              : catch_up_step::read_topic;
    }

private:
    catch_up_options options_;
    /// A peer has read beyond `position_`, where this host stands.
    bool is_behind_ = false;
    log_offset position_;
    int steps_ = 0;
    instant due_at_;
};

} // namespace banyanshunt
