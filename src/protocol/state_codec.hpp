#pragma once

/// \file
/// Defines the written form of a state or a delta: JSON parts of bounded size, which snapshots in
/// the log and messages between hosts share.

#include <string>
#include <vector>

#include "coordination/state_delta.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The size, in bytes, from which a part of a state is closed and the next one begun.
inline constexpr std::size_t state_chunk_size = 256 * 1024;

/// Writes a delta as one or more parts, each a JSON document.
std::vector<std::string> encode_delta(const state_delta& delta);

/// Joins the parts of one delta, which come in order.
class delta_assembler
{
public:
    /// Takes the next part. Fails with `errc::bad_answer` when it is malformed or of another delta.
    verdict<done> add(const std::string& part);

    /// Whether every part has come.
    bool complete() const { return parts_ > 0 && next_part_ == parts_; }
    /// The delta. Precondition: `whole()`.
    const state_delta& delta() const { return delta_; }

private:
    state_delta delta_;
    std::int64_t next_part_ = 0;
    std::int64_t parts_ = 0;
};

} // namespace banyanshunt
