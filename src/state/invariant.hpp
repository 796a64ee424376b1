#pragma once

/// \file
/// Checks of internal invariants. A violation is a defect of this program and aborts the process
/// with a message. A user's mistake is never checked this way; it results in an `error_code`.

namespace banyanshunt
{

/// A location in the source code. As a default argument it is the location of the call.
struct source_location
{
    const char* file = __builtin_FILE();
    int line = __builtin_LINE();
};

/// Writes `message` and its source location to standard error and aborts.
[[noreturn]] void invariant_violated(const char* message, source_location where);

/// Aborts the process unless `holds`.
inline void check_invariant(bool holds, const char* message,
                            source_location where = source_location())
{
    if (!holds)
    {
        invariant_violated(message, where);
    }
}

} // namespace banyanshunt
