#pragma once

/// \file
/// Defines an operator's view of the entry hosts: each is asked for its own word at its admin
/// address, and the peers that it names are asked in turn, so that one address leads to all.

#include <map>
#include <string>
#include <vector>

#include "protocol/admin_codec.hpp"
#include "transport/http_client.hpp"

namespace banyanshunt
{

/// What an operator knows of one entry host.
struct host_report
{
    host_id host;
    domain_id domain;
    std::string admin_address;
    /// The platform's list names it, as some host sees the list.
    bool listed = false;
    bool leaving = false;
    /// It answered the operator itself.
    bool answered = false;
    /// The last ticket that it, or else some peer of it, says it has in force.
    ticket_number last_ticket;
    std::optional<milliseconds> view_age;

    /// Whether `number` is surely in force there.
    bool confirms(ticket_number number) const { return answered && last_ticket >= number; }
};

/// Asks the hosts at the given admin addresses, and all that they name.
std::map<host_id, host_report> query_hosts(http_client& http,
                                           const std::vector<std::string>& admin_addresses,
                                           milliseconds patience);

/// The hosts that ought to have ticket `number` in force and have not confirmed it.
std::vector<host_report> unconfirmed(const std::map<host_id, host_report>& hosts,
                                     ticket_number number);

} // namespace banyanshunt
