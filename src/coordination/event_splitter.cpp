#include "coordination/event_splitter.hpp"

namespace banyanshunt
{

std::string event_splitter::feed(std::string_view bytes)
{
    partial_ += bytes;
    auto lf = partial_.rfind("\n\n");
    auto crlf = partial_.rfind("\r\n\r\n");
    std::size_t end = 0;
    if (lf != std::string::npos)
    {
        end = lf + 2;
    }
    if (crlf != std::string::npos && crlf + 4 > end)
    {
        end = crlf + 4;
    }
    std::string complete = partial_.substr(0, end);
    partial_.erase(0, end);
    record_ids(complete);
    return complete;
}

void event_splitter::record_ids(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty())
    {
        auto end = events.find('\n');
        auto line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        if (line.substr(0, field.size()) == field)
        {
            line.remove_prefix(field.size());
            if (!line.empty() && line.front() == ' ')
            {
                line.remove_prefix(1);
            }
            last_id_ = std::string(line);
        }
    }
}

} // namespace banyanshunt
