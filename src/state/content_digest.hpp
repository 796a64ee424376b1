#pragma once

/// \file
/// The digest by which records with equal content are recognized.

#include <string>
#include <string_view>

namespace banyanshunt
{

/// Returns the hexadecimal SHA-256 of `bytes`.
std::string content_digest(std::string_view bytes);

} // namespace banyanshunt
