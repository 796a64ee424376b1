#pragma once

/// \file
/// Defines the commands about tickets.

#include "control/commands.hpp"

namespace banyanshunt
{

/// Checks a ticket's format, without log or hosts.
int check_ticket(const std::string& path, const control_options& options);
/// Publishes a ticket and tells what became of it; with a wait, also where it is in force.
int publish_ticket_file(const std::string& path, const control_options& options);
/// Tells on which hosts a ticket is in force.
int ticket_status(const std::string& number, const control_options& options);
/// Lists the tickets that the log keeps, with their verdicts.
int ticket_log(const control_options& options);

} // namespace banyanshunt
