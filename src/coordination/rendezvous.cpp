#include "coordination/rendezvous.hpp"

#include <algorithm>

#include <xxhash.h>

namespace banyanshunt
{

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member)
{
    std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> members)
{
    std::sort(members.begin(), members.end(),
              [key](const std::string& a, const std::string& b)
              {
                  auto weight_a = rendezvous_weight(key, a);
                  auto weight_b = rendezvous_weight(key, b);
                  return weight_a != weight_b ? weight_a > weight_b : a < b;
              });
    return members;
}

} // namespace banyanshunt
