#pragma once

/// \file
/// Filters the header fields that are forwarded between callers and plain services, because a key
/// or a cookie must not reach a backend server: in both directions, a field that is not on the
/// allowlist is dropped.

#include <map>
#include <string>
#include <vector>

#include "coordination/plain_service.hpp"

namespace banyanshunt
{

/// The fields of a caller's request to forward to the plain service. Names must be lower case.
std::vector<http_field> fields_for_service(const std::map<std::string, std::string>& from_caller);

/// The fields of a plain service's response to forward to the caller, beside the content type.
std::vector<http_field> fields_for_caller(const std::vector<http_field>& from_service);

} // namespace banyanshunt
