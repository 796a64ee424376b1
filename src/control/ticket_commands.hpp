#pragma once

/// \file
/// The commands that check, publish and list tickets.

#include "control/commands.hpp"

namespace banyanshunt
{

/// Checks a ticket's format, without access to the log or to hosts.
int check_ticket(const std::string& path, const control_options& options);
/// Publishes a ticket and prints the result; with a wait, also prints which hosts applied it.
int publish_ticket_file(const std::string& path, const control_options& options);
/// Prints on which hosts a ticket is applied.
int ticket_status(const std::string& number, const control_options& options);
/// Prints the tickets that the log keeps, with their verdicts.
int ticket_log(const control_options& options);

} // namespace banyanshunt
