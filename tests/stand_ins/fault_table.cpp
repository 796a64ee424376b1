#include "stand_ins/fault_table.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace banyanshunt
{
namespace
{

constexpr std::array kind_names = {"refuse", "lose_answer", "late", "repeat",
                                   "hang",   "cut",         "cross"};

} // namespace

void fault_table::set(std::vector<fault_row> rows)
{
    std::lock_guard lock(mutex_);
    rows_ = std::move(rows);
    calls_.clear();
}

std::optional<std::string> fault_table::set_text(const std::string& text)
{
    std::vector<fault_row> rows;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
    {
        if (line.empty())
        {
            continue;
        }
        fault_row row;
        std::string kind;
        std::int64_t delay_ms = 0;
        std::istringstream fields(line);
        fields >> row.call >> row.first >> row.count >> kind >> delay_ms;
        auto it = std::find(kind_names.begin(), kind_names.end(), kind);
        if (!fields || it == kind_names.end())
        {
            return "not a row \"call first count kind delay_ms\": " + line;
        }
        row.kind = static_cast<fault_kind>(it - kind_names.begin());
        row.delay = milliseconds(delay_ms);
        rows.push_back(row);
    }
    set(std::move(rows));
    return std::nullopt;
}

std::optional<fault_row> fault_table::next(const std::string& call)
{
    std::lock_guard lock(mutex_);
    int n = ++calls_[call];
    for (const auto& row : rows_)
    {
        if (row.call == call && n >= row.first && n < row.first + row.count)
        {
            return row;
        }
    }
    return std::nullopt;
}

} // namespace banyanshunt
