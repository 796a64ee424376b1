#pragma once

/// \file
/// The command that checks a serving configuration before it is sent.

#include <optional>
#include <string_view>
#include <vector>

#include "control/commands.hpp"
#include "coordination/config_check.hpp"

namespace banyanshunt
{

/// Exit codes of `shuntctl check`; differences from the version in effect do not change them.
enum config_exit : int
{
    config_in_order = 0,
    /// Entries that never match, or contradictions.
    config_warnings = 1,
    /// A file cannot be read or parsed, or hosts would not accept the configuration.
    config_errors = 2,
};

/// Checks the text of a configuration and compares it with that of the version in effect, if given.
std::vector<config_finding> check_config_text(std::string_view text,
                                              const std::optional<std::string>& in_effect,
                                              config_parser parse);
/// The exit code for the gravest of the findings.
config_exit exit_of(const std::vector<config_finding>& found);
/// Checks the file and prints the findings.
int check_config_file(const std::string& path, const control_options& options);

} // namespace banyanshunt
