#pragma once

/// \file
/// Defines a table for people: columns as wide as their widest cell.

#include <string>
#include <vector>

namespace banyanshunt
{

class text_table
{
public:
    explicit text_table(std::vector<std::string> heads) : rows_{std::move(heads)} {}

    /// Adds a row with as many cells as there are heads.
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

    /// One line for the heads and one for each row.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace banyanshunt
