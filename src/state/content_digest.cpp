#include "state/content_digest.hpp"

#include <array>

#include <fmt/format.h>
#include <openssl/sha.h>

namespace banyanshunt
{

std::string content_digest(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (unsigned char byte : digest)
    {
        hex += fmt::format("{:02x}", byte);
    }
    return hex;
}

} // namespace banyanshunt
