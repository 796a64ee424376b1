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
    return complete;
}

} // namespace banyanshunt
