#include "protocol/lease_codec.hpp"

#include <nlohmann/json.hpp>

#include "protocol/json_reader.hpp"
#include "state/errors.hpp"

namespace banyanshunt
{

std::string encode_lease_claim(const lease_claim& claim)
{
    // A placer of an earlier build refuses a record with an unknown field, and the two would then
    // differ on who holds the lease. So the wait after a release takes the place of the
    // incarnation, which nobody reads there; an incarnation that such a placer wrote reads as a
    // wait beyond every bound.
    bool is_release = claim.holder.empty();
    return nlohmann::json{{"server", claim.server.str()},
                          {"holder", claim.holder.str()},
                          {"life", is_release
                                       ? static_cast<std::int64_t>(claim.released_for.count())
                                       : claim.incarnation.count()},
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
    if (claim.holder.empty())
    {
        claim.released_for = milliseconds(claim.incarnation.count());
        claim.incarnation = incarnation_id();
    }
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
