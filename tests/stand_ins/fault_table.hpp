#pragma once

/// \file
/// Defines the table of faults that a stand-in follows: which call, from which time on it, how
/// often, and what goes wrong. Calls are counted, not timed, so that a run repeats exactly.

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "state/units.hpp"

namespace banyanshunt
{

enum class fault_kind
{
    /// Refused before it had an effect.
    refuse,
    /// It takes effect, and its answer is lost.
    lose_response,
    /// It takes effect `delay` late.
    delayed,
    /// It takes effect twice.
    duplicate,
    /// No answer and no effect, until the caller gives up.
    hang,
    /// The answer breaks off in the middle.
    truncate,
    /// The answer of another call comes first.
    reorder,
};

/// One row: calls `first_offset` to `first + count - 1` of the kind named `send_request` suffer
/// `action_kind`.
struct fault_row
{
    std::string call;
    int first = 1;
    int count = 1;
    fault_kind kind = fault_kind::refuse;
    milliseconds delay{0};
};

/// Counts calls and tells which fault each one suffers. Safe from any thread.
class fault_table
{
public:
    void set(std::vector<fault_row> rows);
    /// Reads rows such as "append 3 1 lose_answer 0", one a line; returns a complaint, or nothing.
    std::optional<std::string> set_text(const std::string& text);

    /// Counts one call of that kind and returns the row that applies.
    std::optional<fault_row> next(const std::string& call);

private:
    std::mutex mutex_;
    std::vector<fault_row> rows_;
    std::map<std::string, int> calls_;
};

} // namespace banyanshunt
