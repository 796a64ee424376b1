#pragma once

/// \file
/// Quantities with their units. Durations are `std::chrono` types.

#include <chrono>

#include "state/strong_type.hpp"

namespace banyanshunt
{

/// Thousandths of a token. Integer arithmetic keeps sums of shares exact.
using millitokens = strong_number<struct millitokens_tag>;
/// Thousandths of a token per second.
using millitokens_per_second = strong_number<struct millitokens_per_second_tag>;
/// Thousandths of a request per second.
using millirequests_per_second = strong_number<struct millirequests_per_second_tag>;
/// Memory of a backend server, in mebibytes.
using mebibytes = strong_number<struct mebibytes_tag>;

inline constexpr std::int64_t millitokens_per_token = 1000;

inline constexpr std::int64_t millirequests_per_request = 1000;

/// Returns `n` tokens in millitokens.
constexpr millitokens tokens(std::int64_t n)
{
    return millitokens(n * millitokens_per_token);
}

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

} // namespace banyanshunt
