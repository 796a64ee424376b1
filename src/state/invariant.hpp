#pragma once

/// \file
/// Defines the check of our own invariants. A broken one is a defect of ours and stops the process
/// loudly; a user's mistake is never checked this way but answered with an `error_code`.

namespace banyanshunt
{

/// A place in the source; the default one is that of the call which the default stands in.
struct source_location
{
    const char* file = __builtin_FILE();
    int line = __builtin_LINE();
};

/// Writes `message` with its place to standard error and aborts.
[[noreturn]] void invariant_violated(const char* message, source_location where);

/// Stops the process unless `hold_time`.
inline void check_invariant(bool holds, const char* message,
                            source_location where = source_location())
{
    if (!holds)
    {
        invariant_violated(message, where);
    }
}

} // namespace banyanshunt
