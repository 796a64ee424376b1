#include "coordination/key_check.hpp"

#include <openssl/crypto.h>

#include "state/content_digest.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{
namespace
{

failure refuse(errc code, const char* detail)
{
    return {.run = run_state::not_run, .code = code, .detail = detail, .retry_after = {}};
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

std::string salted_hash(std::string_view salt_hex, std::string_view secret)
{
    std::string input;
    input.append(salt_hex);
    input.append(secret);
    return content_digest(input);
}

verdict<key_holder> check_key(const fleet_state& state, std::string_view bearer)
{
    if (bearer.empty())
    {
        return refuse(errc::key_missing, "this route needs a bearer key");
    }
    auto dot = bearer.find('.');
    if (dot == std::string_view::npos)
    {
        return refuse(errc::key_refused, "the key is unknown or withdrawn");
    }
    key_id id{std::string(bearer.substr(0, dot))};
    const key_object* key = find_object(state.keys, id);
    if (!key || !equal_in_constant_time(key->hash, salted_hash(key->salt, bearer.substr(dot + 1))))
    {
        return refuse(errc::key_refused, "the key is unknown or withdrawn");
    }
    return key_holder{.key = id, .workspace = key->workspace};
}

} // namespace banyanshunt
