#pragma once

/// \file
/// Bounds the lines about refused input of other writers.
///
/// Made for a load pattern in which another writer, or a peer, sends odd input as fast as it can:
/// the metric counts all of it, and the log keeps room for other lines.

#include "state/clock.hpp"
#include "state/units.hpp"

namespace banyanshunt
{

struct refusal_budget_options
{
    /// Lines in each period: a hundredth of those that a host may write.
    int max_lines = 15;
    milliseconds period{10000};
};

class refusal_budget
{
public:
    explicit refusal_budget(const refusal_budget_options& options = {}) : options_(options) {}

    /// Takes a line; returns whether it may be written.
    bool take(instant now)
    {
        if (now - from_ >= options_.period)
        {
            from_ = now;
            lines_ = 0;
        }
        return lines_++ < options_.max_lines;
    }

private:
    refusal_budget_options options_;
    instant from_;
    int lines_ = 0;
};

} // namespace banyanshunt
