#pragma once

/// \file
/// Rendezvous hashing: every host that knows the same members ranks them in the same order for a
/// key, without communication, and a member that leaves moves only the keys for which it ranked
/// first.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace banyanshunt
{

/// Returns the weight of `member` for `key`; the highest ranks first.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

/// Returns the members in their order for `key`, whatever the order of the argument.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> members);

} // namespace banyanshunt
