#pragma once

/// \file
/// Reads the files that commands are given.

#include <optional>
#include <string>

namespace banyanshunt
{

/// The file's content; writes to standard error and returns nothing if it cannot be read.
std::optional<std::string> read_text(const std::string& path);

} // namespace banyanshunt
