#pragma once

/// \file
/// Defines which header fields pass between callers and plain services, because a key or a cookie
/// must not reach a backend server: a field that is not listed here is left out, both ways.

#include <map>
#include <string>
#include <vector>

#include "coordination/plain_service.hpp"

namespace banyanshunt
{

/// The fields of a caller's request that its plain service gets. Names are lower case.
std::vector<http_field> fields_for_service(const std::map<std::string, std::string>& from_caller);

/// The fields of a plain service's answer that the caller gets, beside the content type.
std::vector<http_field> fields_for_caller(const std::vector<http_field>& from_service);

} // namespace banyanshunt
