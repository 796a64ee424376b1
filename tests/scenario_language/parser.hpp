#pragma once

/// \file
/// Parses scenarios. It reports all errors of a file at once, each as "file:line: what is wrong and
/// what is allowed".

#include "scenario_language/statement.hpp"

namespace banyanshunt::scenario
{

struct parsed_scenario
{
    std::string path;
    std::vector<statement> statements;
    std::vector<std::string> errors;
};

/// Parses the text of a scenario; `path` is used in messages only. Empty lines and lines that start
/// with "#" are skipped.
parsed_scenario parse_scenario(const std::string& text, const std::string& path);

/// Reads and parses a scenario file.
parsed_scenario read_scenario(const std::string& path);

} // namespace banyanshunt::scenario
