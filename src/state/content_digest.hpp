#pragma once

/// \file
/// Defines the digest by which two records with the same bytes are known to be the same.

#include <string>
#include <string_view>

namespace banyanshunt
{

/// Returns the hexadecimal SHA-256 of `bytes`.
std::string content_digest(std::string_view bytes);

} // namespace banyanshunt
