#pragma once

/// \file
/// What a host does when it is told that its settings file has changed: it checks the file and says
/// what it found. Changed settings take effect at its next start.

#include <string>
#include <vector>

#include "serve/host_context.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

enum class reload_result
{
    unchanged,
    /// The file is in order and differs from the settings in force.
    changed,
    /// The file has an error; the next start would fail with it.
    refused,
};

struct reload_report
{
    reload_result result = reload_result::unchanged;
    /// The names of the fields that differ.
    std::vector<std::string> fields;
    std::string detail;
};

/// Compares what a settings file holds with the settings in force.
reload_report compare_settings(const host_settings& in_force, const verdict<host_settings>& found);

/// Reads the file again, and logs and counts what was found.
void check_settings_file(host_context& context, const std::string& path);

} // namespace banyanshunt
