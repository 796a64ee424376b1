#pragma once

/// \file
/// The encoding of claims on idempotency keys in the log.

#include <string>

#include "coordination/claim_coordinator.hpp"

namespace banyanshunt
{

std::string encode_claim_record(const claim_record& record);
/// Fails with `errc::bad_answer` on anything that is not such a record.
verdict<claim_record> decode_claim_record(const std::string& text);

/// Digest of a call, which distinguishes a repeat from another call with the same key.
std::string call_digest(const std::string& method, const std::string& target,
                        const std::string& body);

} // namespace banyanshunt
