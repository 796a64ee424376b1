#include "control/text_file.hpp"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace banyanshunt
{

std::optional<std::string> read_text(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace banyanshunt
