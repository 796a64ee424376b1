#pragma once

/// \file
/// The encoding of slot records in the log.

#include <string>

#include "coordination/placement/slot_ledger.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

std::string encode_slot_record(const slot_record& record);
/// Fails with `errc::bad_answer` on anything that is not a slot record.
verdict<slot_record> decode_slot_record(const std::string& text);

/// The stream that holds the slots of all models in all domains.
inline const stream_name slots_stream{"slots"};

} // namespace banyanshunt
