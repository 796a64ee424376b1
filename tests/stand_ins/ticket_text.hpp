#pragma once

/// \file
/// Helpers that write the JSON text of change tickets for tests.

#include <string>
#include <utility>
#include <vector>

namespace banyanshunt
{

/// A member of a ticket: its kind and its JSON object.
using ticket_member = std::pair<std::string, std::string>;

/// The text of a ticket. A member's object may lack its outer braces.
std::string ticket_text(int number, const std::vector<ticket_member>& members);

/// The member of "keys" for a key with this id and secret.
std::string key_text(const std::string& id, const std::string& workspace,
                     const std::string& secret);

/// The member of "servers" for a server in domain north, or in `domain`.
std::string server_text(const std::string& name, const std::string& kind,
                        const std::string& address, const std::string& domain = "north");

} // namespace banyanshunt
