#pragma once

/// \file
/// Defines the reading of server-sent events from pieces of a stream.

#include <string>
#include <string_view>
#include <vector>

namespace banyanshunt
{

/// Collects pieces until events are whole. Only `data:` lines are kept, as engines send no others
/// that matter.
class event_stream_reader
{
public:
    /// Takes the next piece and returns the data of each event that it completed.
    std::vector<std::string> feed(std::string_view piece);

    /// Whether an event has grown beyond any that an engine sends; nothing more is to be fed then.
    bool too_long() const { return pending_.size() > longest_event; }

private:
    static constexpr std::size_t longest_event = 1024 * 1024;

    std::string pending_;
};

} // namespace banyanshunt
