#pragma once

/// \file
/// Elapsed times as logs state them.

#include <chrono>

#include "state/clock.hpp"

namespace banyanshunt
{

/// The time between two readings, in whole milliseconds.
inline std::chrono::milliseconds elapsed_ms(instant from, instant to)
{
    return std::chrono::floor<std::chrono::milliseconds>(to - from);
}

} // namespace banyanshunt
