#pragma once

/// \file
/// Code shared by the `main` functions of all daemons: the check of the settings, and exit codes.

#include <string>

#include "protocol/settings_file.hpp"

namespace banyanshunt
{

/// Exit codes of all programs; docs/OPERATORS.md explains them.
enum exit_code : int
{
    exit_success = 0,
    /// A requested operation failed.
    exit_failed = 1,
    /// The command line or the settings are invalid.
    exit_usage = 2,
    /// The stop aborted requests in flight.
    exit_unclean = 3,
};

/// Writes every error in the settings to standard error; returns whether there was none.
bool check_settings(const settings_file& file);

} // namespace banyanshunt
