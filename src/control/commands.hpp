#pragma once

/// \file
/// The commands of the operators' command line. Each prints its result to standard output and
/// explanations to standard error, and returns an exit code that scripts can distinguish.

#include <string>
#include <string_view>
#include <vector>

#include "state/serving_config.hpp"
#include "state/units.hpp"
#include "state/verdict.hpp"

namespace banyanshunt
{

/// Exit codes in addition to those of all programs (0 done, 1 failed, 2 usage); docs/TICKETS.md
/// lists them.
enum control_exit : int
{
    /// The ticket is refused, or lost the race for its number.
    exit_refused = 4,
    /// The ticket may be in the log; publishing it again is safe.
    exit_indeterminate = 5,
    /// Not every live host confirmed in time.
    exit_unconfirmed = 6,
};

using config_parser = verdict<serving_config_ptr> (*)(std::string_view);

struct control_options
{
    /// Address of the platform's log service.
    std::string log_address;
    /// Admin addresses of some entry hosts; the others are discovered through them.
    std::vector<std::string> admin_addresses;
    /// Longest wait for one response.
    milliseconds timeout{2000};
    /// How long `--wait_ms` waits until every live host has confirmed the ticket; zero does not
    /// wait.
    milliseconds confirm_timeout{0};
    /// Path of the serving configuration in effect, with which `check` compares; empty for none.
    std::string against;
    /// Parses the text of a serving configuration.
    config_parser parse_config = nullptr;
    /// Print JSON for scripts instead of a table.
    bool json = false;
};

/// Runs the command given by `words`; returns the exit code.
int run_control(const std::vector<std::string>& words, const control_options& options);

/// The usage text of the command line.
extern const char* const control_usage;

} // namespace banyanshunt
