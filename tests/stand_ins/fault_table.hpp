#pragma once

/// \file
/// The table of faults that a stand-in injects: the kind of call, the first call affected, the
/// number of calls, and the fault. Faults go by call count, not by time, so that runs are
/// reproducible.

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
    /// The call is refused before it takes effect.
    refuse,
    /// The call takes effect, and its response is lost.
    lose_response,
    /// The call takes effect after `delay`.
    delayed,
    /// The call takes effect twice.
    duplicate,
    /// The call has no response and no effect until the caller times out.
    hang,
    /// The response ends in the middle.
    truncate,
    /// The response to another call arrives first.
    reorder,
};

/// One row: the calls `first` to `first + count - 1` named `call` get the fault `kind`.
struct fault_row
{
    std::string call;
    int first = 1;
    int count = 1;
    fault_kind kind = fault_kind::refuse;
    milliseconds delay{0};
};

/// Counts calls and selects the fault for each one. Thread-safe.
class fault_table
{
public:
    void set(std::vector<fault_row> rows);
    /// Parses rows such as "append 3 1 lose_answer 0", one per line. Returns an error message, or
    /// nothing on success.
    std::optional<std::string> set_text(const std::string& text);

    /// Counts one call of that name and returns the row that applies to it, if any.
    std::optional<fault_row> next(const std::string& call);

private:
    std::mutex mutex_;
    std::vector<fault_row> rows_;
    std::map<std::string, int> calls_;
};

} // namespace banyanshunt
