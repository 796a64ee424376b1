#pragma once

/// \file
/// Where a topic is read on after a read of the newest record of each key.
///
/// Made for a load pattern in which records are appended, and the history dropped, while hosts read
/// all keys: pages are no snapshot, and the end that a page states may lie behind records that it
/// does not show. The last record of a topic is the newest of its key, unless it drops the key, so
/// the offsets of the records tell how far the pages reach.

#include <algorithm>
#include <optional>

#include "state/clock.hpp"
#include "state/ids.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

class complete_read
{
public:
    /// Adds a page by which the topic ended at `end`.
    void add_page(log_offset end) { end_ = end_ ? end_ : end; }
    void add_record(log_offset at) { reached_ = std::max(reached_, log_offset(at.count() + 1)); }

    /// The end that the first page stated; what was added since is read again from there.
    log_offset end() const { return end_.value_or(log_offset(0)); }
    /// Everything before this offset is certainly shown by the pages.
    log_offset reached() const { return std::min(reached_, end()); }
    /// Whether the pages show everything up to `end`.
    bool is_proven() const { return reached_ >= end(); }

private:
    std::optional<log_offset> end_;
    log_offset reached_;
};

/// What to do about records between where a complete read reaches and its end.
enum class gap_action
{
    /// There are none, or they can only be drops of keys.
    read_from_end,
    /// The log may still have them.
    read_gap,
    /// The log has dropped them. The read is repeated, and proves nothing until then.
    repeat,
};

/// Follows the complete reads of one topic.
class complete_read_gap
{
public:
    /// `patience` is how long a store may show records older than the end that it states.
    explicit complete_read_gap(milliseconds patience) : patience_(patience) {}

    gap_action judge(const complete_read& read, instant now)
    {
        if (read.is_proven())
        {
            tried_.reset();
            return gap_action::read_from_end;
        }
        if (!tried_ || *tried_ < read.reached())
        {
            tried_ = read.reached();
            tried_at_ = now;
            return gap_action::read_gap;
        }
        if (now - tried_at_ < patience_)
        {
            return gap_action::repeat;
        }
        tried_.reset();
        return gap_action::read_from_end;
    }

private:
    milliseconds patience_;
    /// The gap that is being read begins here.
    std::optional<log_offset> tried_;
    instant tried_at_;
};

} // namespace banyanshunt
