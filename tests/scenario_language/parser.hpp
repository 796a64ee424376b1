#pragma once

/// \file
/// Defines the reading of scenarios. Every mistake is told as "file:line: what is wrong and what is
/// allowed", all of them at once.

#include "scenario_language/statement.hpp"

namespace banyanshunt::scenario
{

struct parsed_scenario
{
    std::string path;
    std::vector<statement> statements;
    std::vector<std::string> errors;
};

/// Reads a scenario's text; `path` is used in messages only. Empty lines and what follows "#" at
/// the begin of a line are skipped.
parsed_scenario parse_scenario(const std::string& text, const std::string& path);

/// Reads a scenario's file.
parsed_scenario read_scenario(const std::string& path);

} // namespace banyanshunt::scenario
