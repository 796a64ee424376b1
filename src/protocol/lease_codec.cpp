#include "protocol/lease_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

std::string encode_lease_claim(const lease_claim& claim)
{
    return nlohmann::json{{"server", claim.server.str()},
                          {"holder", claim.holder.str()},
                          {"life", claim.incarnation.count()},
                          {"follows", claim.follows.count()}}
        .dump();
}

verdict<lease_claim> decode_lease_claim(const std::string& text)
{
    constexpr std::size_t max_name_bytes = 128;
    json_errors errors;
    auto document = parse_json(text, errors);
    json_reader in(document, "", errors);
    lease_claim claim{
        .server = server_id(in.text("server", max_name_bytes)),
        .holder = host_id(in.text("holder", max_name_bytes, "")),
        .incarnation = incarnation_id(in.integer("life", 0, INT64_MAX)),
        .follows = fencing_number(in.integer("follows", 0, INT64_MAX)),
    };
    in.reject_unknown();
    if (!errors.empty())
    {
        return errors.as_failure(run_state::not_run);
    }
    return claim;
}

stream_name lease_stream(const domain_id& domain)
{
    return stream_name("leases." + domain.str());
}

} // namespace banyanshunt
