#pragma once

/// \file
/// The encoding of a state or a delta as JSON chunks of bounded size, which snapshots in the log
/// and messages between hosts share.

#include <string>
#include <vector>

#include "coordination/state_delta.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// The size, in bytes, at which a chunk of a state is closed and the next one started.
inline constexpr std::size_t state_chunk_size = 256 * 1024;

/// Encodes a delta as one or more chunks, each a JSON document.
std::vector<std::string> encode_delta(const state_delta& delta);

/// Joins the chunks of one delta, which must be added in order.
class delta_assembler
{
public:
    /// Adds the next chunk. Fails with `errc::bad_answer` if it is malformed or of another delta.
    verdict<done> add(const std::string& chunk);

    /// Whether every chunk has been added.
    bool complete() const { return chunks_ > 0 && next_chunk_ == chunks_; }
    /// The delta. Precondition: `complete()`.
    const state_delta& delta() const { return delta_; }

private:
    state_delta delta_;
    std::int64_t next_chunk_ = 0;
    std::int64_t chunks_ = 0;
};

} // namespace banyanshunt
