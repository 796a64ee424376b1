#pragma once

/// \file
/// Parses JSON of other writers within bounds on its size, nesting and number of values. The bounds
/// keep what one document costs proportional to its text: nlohmann's copies and dumps recurse once
/// a level, so that deep nesting would exhaust the stack, and short values take many times their
/// text in memory.

#include <cstddef>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "state/verdict.hpp"

namespace banyanshunt
{

/// The bounds on one document.
struct json_bounds
{
    /// Size of the text in bytes; no transport delivers more.
    std::size_t bytes = 16UL * 1024 * 1024;
    /// Levels of arrays and objects; the documented formats use eight at most.
    std::size_t depth = 32;
    /// Values and member names together; by default no more than fit in `bytes`.
    std::size_t values = 16UL * 1024 * 1024;
};

/// Parses a document. Fails with `errc::bad_answer` at the first violation of a bound or of the
/// syntax; the detail contains none of the text.
verdict<nlohmann::json> parse_bounded_json(std::string_view text, const json_bounds& bounds);

} // namespace banyanshunt
