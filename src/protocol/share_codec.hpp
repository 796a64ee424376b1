#pragma once

/// \file
/// The encoding of share records in the log.

#include <string>

#include "coordination/share_membership.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

std::string encode_share_record(const share_record& record);
/// Fails with `errc::bad_answer` on anything that is not a share record.
verdict<share_record> decode_share_record(const std::string& text);

/// The stream that holds the share records of one domain.
stream_name share_stream(const domain_id& domain);

} // namespace banyanshunt
