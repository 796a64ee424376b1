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

private:
    std::string pending_;
};

} // namespace banyanshunt
