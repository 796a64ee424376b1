#pragma once

/// \file
/// The encoding of lease claims in the log.

#include <string>

#include "coordination/lease_table.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

std::string encode_lease_claim(const lease_claim& claim);
/// Fails with `errc::bad_answer` on anything that is not a claim.
verdict<lease_claim> decode_lease_claim(const std::string& text);

/// The stream that holds the claims on the servers of one domain.
stream_name lease_stream(const domain_id& domain);

} // namespace banyanshunt
