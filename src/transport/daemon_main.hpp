#pragma once

/// \file
/// Defines what the mains of all daemons share: flags, the check of the settings, and exit codes.

#include <string>

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

/// Exit codes of all programs; docs/OPERATORS.md explains them.
enum exit_code : int
{
    exit_success = 0,
    /// Something that was asked for did not come true.
    exit_failed = 1,
    /// The command line or the settings are wrong.
    exit_usage = 2,
    /// A stop cut requests off.
    exit_unclean = 3,
};

/// Writes every mistake to standard error; returns whether there was none.
bool check_settings(const settings_file& file);

} // namespace banyanshunt
