#pragma once

/// \file
/// An incremental parser of server-sent events.

#include <string>
#include <string_view>
#include <vector>

namespace banyanshunt
{

/// Buffers chunks of a stream until events are complete. Keeps only `data:` lines, because engines
/// send no other relevant fields.
class event_stream_reader
{
public:
    /// Parses the next chunk and returns the data of each event that it completed.
    std::vector<std::string> feed(std::string_view chunk);

    /// Whether the incomplete event is larger than any that an engine sends. The caller must stop
    /// feeding chunks then.
    bool too_long() const { return pending_.size() > max_event_bytes; }

private:
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    std::string pending_;
};

} // namespace banyanshunt
