#pragma once

/// \file
/// A plain-text table whose columns are as wide as their widest cell.

#include <string>
#include <vector>

namespace banyanshunt
{

class text_table
{
public:
    explicit text_table(std::vector<std::string> headers) : rows_{std::move(headers)} {}

    /// Adds a row, which must have as many cells as there are headers.
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

    /// One line for the headers and one for each row.
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace banyanshunt
