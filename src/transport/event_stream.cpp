#include "transport/event_stream.hpp"

#include <algorithm>
#include <iterator>

namespace banyanshunt
{
namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data: ";

std::string data_of(std::string_view event)
{
    std::string data;
    while (!event.empty())
    {
        auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(data_field))
        {
            data += line.substr(data_field.size());
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return data;
}

} // namespace

std::vector<std::string> event_stream_reader::feed(std::string_view chunk)
{
    std::copy_if(chunk.begin(), chunk.end(), std::back_inserter(pending_),
                 [](char c) { return c != '\r'; });
    std::vector<std::string> events;
    for (auto end = pending_.find(event_end); end != std::string::npos;
         end = pending_.find(event_end))
    {
        events.push_back(data_of(std::string_view(pending_).substr(0, end)));
        pending_.erase(0, end + event_end.size());
    }
    return events;
}

} // namespace banyanshunt
