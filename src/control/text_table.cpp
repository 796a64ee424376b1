#include "control/text_table.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace banyanshunt
{

std::string text_table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_)
    {
        for (std::size_t i = 0; i < widths.size(); ++i)
        {
            widths[i] = std::max(widths[i], row.at(i).size());
        }
    }
    std::string out;
    for (const auto& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i)
        {
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

} // namespace banyanshunt
