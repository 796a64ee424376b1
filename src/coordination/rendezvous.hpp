#pragma once

/// \file
/// Defines rendezvous ranking: every host that knows the same members puts them in the same order
/// for a key, with no talk, and a member that leaves moves only the keys it was first for.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanshunt
{

/// The weight of `member` for `api_key`; the highest ranks first.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

/// Returns the members in their order for `api_key`; the order of the argument does not matter.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> members);

} // namespace banyanshunt
